package org.fescueport.internal.direct.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Random;
import java.util.zip.DataFormatException;
import org.fescueport.internal.wire.generated.PeerDeflated;
import org.fescueport.internal.wire.generated.PeerMessage;
import org.fescueport.internal.wire.generated.PeerRecord;
import org.fescueport.internal.wire.generated.PeerRecords;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeflationTest {
    private static PeerMessage message(ByteString... values) {
        var records = PeerRecords.newBuilder();
        for (var value : values) {
            records.addEntries(PeerRecord.newBuilder().setKey("key").setValue(value));
        }
        return PeerMessage.newBuilder().setRecords(records).build();
    }

    private static PeerMessage configuration(int teams) {
        var text = new StringBuilder();
        for (int i = 0; i < teams; i++) {
            text.append("{\"name\":\"team-").append(i).append("\",\"api_keys\":[\"k\"]},");
        }
        return message(ByteString.copyFromUtf8(text.toString()));
    }

    private static PeerMessage replicas(int count) {
        var values = new ByteString[count];
        for (int i = 0; i < count; i++) {
            values[i] =
                    ByteString.copyFromUtf8(
                            "{\"service\":\"llm\",\"address\":\"10.1.%d.%d:80\",\"slots\":64}"
                                    .formatted(i / 256, i % 256));
        }
        return message(values);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 1_000, 1_023, 1_024, 1_025, 200_000})
    void shouldInflateToTheSameMessage(int size) throws Exception {
        byte[] noise = new byte[size];
        new Random(size).nextBytes(noise);
        var message = message(ByteString.copyFrom(noise));
        assertThat(Deflation.inflate(Deflation.deflate(message)), is(message));
    }

    @Test
    void shouldShrinkConfigurationsAndListsOfReplicas() {
        for (var large : List.of(configuration(1_200), replicas(3_000))) {
            int deflated = Deflation.deflate(large).getSerializedSize();
            assertThat(deflated, lessThan(large.getSerializedSize() / 5));
        }
    }

    @Test
    void shouldRejectAMessageThatIsNotWhatItStates() {
        var good = Deflation.deflate(configuration(100)).getDeflated().toBuilder();
        int size = good.getInflatedBytes();
        var nested = Deflation.deflate(PeerMessage.newBuilder().setDeflated(good).build());
        for (var bad :
                List.of(
                        good.clone().setInflatedBytes(size + 1),
                        good.clone().setInflatedBytes(size - 1),
                        good.clone().setInflatedBytes(Integer.MAX_VALUE),
                        good.clone().setInflatedBytes(-1),
                        good.clone().setMessage(ByteString.copyFromUtf8("nonsense")),
                        nestedIn(nested))) {
            var message = PeerMessage.newBuilder().setDeflated(bad).build();
            assertThrows(DataFormatException.class, () -> Deflation.inflate(message));
        }
    }

    /** Returns a deflated message whose content is a deflated message. */
    private static PeerDeflated.Builder nestedIn(PeerMessage message) {
        var text = "x".repeat(Deflation.MIN_BYTES);
        var inner =
                PeerMessage.newBuilder()
                        .setDeflated(
                                message.getDeflated().toBuilder()
                                        .setMessage(ByteString.copyFromUtf8(text)))
                        .build();
        return Deflation.deflate(inner).getDeflated().toBuilder();
    }
}
