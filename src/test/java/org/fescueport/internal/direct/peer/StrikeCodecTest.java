package org.fescueport.internal.direct.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.stream.Stream;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.place.PartStrike;
import org.fescueport.internal.direct.place.PromptPartId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class StrikeCodecTest {
    private static final int MAX_BYTES = 64;
    private static final AgentIncarnation REPLICA =
            AgentIncarnation.of(NodeId.of("i-9046ff59e0"), 1_792_178_458_923L);

    static Stream<PartStrike> strikes() {
        var strike = PartStrike.of(PromptPartId.of("m", "57dc7b54a0ed").hash(), REPLICA);
        var inAnswer = PartStrike.inAnswer(strike.part(), REPLICA, Duration.ofMillis(1_250));
        var ofSession = PartStrike.ofSession(strike.part(), REPLICA, Duration.ofMillis(1_250));
        return Stream.of(strike, inAnswer, ofSession, strike.asCleared(), inAnswer.asCleared());
    }

    @ParameterizedTest
    @MethodSource("strikes")
    void shouldReadWhatItWroteOfAPart(PartStrike strike) {
        var message = StrikeCodec.encode(strike);
        assertThat(StrikeCodec.isAgainstPart(message), is(true));
        assertThat(StrikeCodec.partStrike(message), is(strike));
        assertThat(message.getSerializedSize(), lessThanOrEqualTo(MAX_BYTES));
    }

    @Test
    void shouldNotBeReadByAnOlderBuildAsAStrongerStrike() {
        var part = PromptPartId.of("m", "57dc7b54a0ed").hash();
        var strike = PartStrike.inAnswer(part, REPLICA, Duration.ofMillis(50));
        assertThat(StrikeCodec.encode(strike).getTeam(), is(not("\npart")));
        var ofSession = PartStrike.ofSession(part, REPLICA, Duration.ofMillis(50));
        assertThat(StrikeCodec.encode(ofSession).getTeam(), is("\nsession:50"));
        assertThat(StrikeCodec.encode(strike.asCleared()).getTeam(), is("\npart"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "part", "puda43", "\npart:", "\npart:soon"})
    void shouldNotTakeAStrikeAgainstARequestForOneAgainstAPart(String team) {
        var request = Fingerprint.of(TeamId.of(team), ContentHash.of(1, 2));
        var message = StrikeCodec.encode(request, REPLICA);
        assertThat(StrikeCodec.isAgainstPart(message), is(false));
        assertThat(StrikeCodec.request(message), is(request));
    }

    @Test
    void shouldKnowAPartWhicheverModelReadsIt() {
        var one = PromptPartId.of("m", "57dc7b54a0ed").hash();
        assertThat(PromptPartId.of("n", "57dc7b54a0ed").hash(), is(one));
        assertThat(one.equals(PromptPartId.of("m", "57dc7b54a0ee").hash()), is(false));
    }
}
