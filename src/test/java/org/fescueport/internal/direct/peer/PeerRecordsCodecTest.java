package org.fescueport.internal.direct.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.fescueport.internal.direct.state.RecordBatch;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateTopic;
import org.fescueport.internal.direct.state.StorePosition;
import org.fescueport.internal.wire.generated.PeerMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerRecordsCodecTest {
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 1_023, 1_024, 1_025, 200_000})
    void shouldDecodeWhatItEncodes(int size) {
        byte[] noise = new byte[size];
        new Random(size).nextBytes(noise);
        var encoded =
                PeerRecordsCodec.encode(
                        new RecordBatch(
                                StateTopic.CONFIGURATION,
                                StorePosition.of(2, 3),
                                StorePosition.of(4, 5),
                                false,
                                List.of(
                                        StateRecord.set(StorePosition.of(2, 3), "a", noise),
                                        StateRecord.removed(StorePosition.of(4, 4), "b"))),
                        Duration.ofMillis(7));
        RecordBatch batch = PeerRecordsCodec.decode(encoded.getRecords());
        assertThat(batch.from(), is(StorePosition.of(2, 3)));
        assertThat(batch.end(), is(StorePosition.of(4, 5)));
        assertThat(batch.records().getFirst().position(), is(StorePosition.of(2, 3)));
        assertThat(batch.records().getLast().position(), is(StorePosition.of(4, 4)));
        assertThat(batch.records().getFirst().value().orElseThrow(), is(noise));
        assertThat(batch.records().getLast().value().isEmpty(), is(true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "\u0000", "a\r\nb", "x-\ud800", "x-\udfff\ud800y", "\ufffd"})
    void shouldDecodeTheRecordsAroundAnOddKey(String key) throws Exception {
        var position = StorePosition.of(0, 1);
        var batch =
                RecordBatch.incremental(
                        StateTopic.CONFIGURATION,
                        StorePosition.START,
                        position,
                        List.of(
                                StateRecord.removed(position, "a"),
                                StateRecord.set(position, key, new byte[0]),
                                StateRecord.removed(position, "b")));
        byte[] sent = PeerRecordsCodec.encode(batch, Duration.ZERO).toByteArray();
        var received = PeerRecordsCodec.decode(PeerMessage.parseFrom(sent).getRecords());
        assertThat(received.records().size(), is(3));
        assertThat(received.records().getFirst().key(), is("a"));
        assertThat(received.records().getLast().key(), is("b"));
    }
}
