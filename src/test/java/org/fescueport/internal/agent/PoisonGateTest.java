package org.fescueport.internal.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.MockClock;
import io.opentelemetry.api.trace.Span;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.log.poison.PoisonCodec;
import org.fescueport.internal.wire.generated.Submit;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;

class PoisonGateTest {
    private final DeterministicScheduler mLoop = new DeterministicScheduler();
    private final MockClock mClock = new MockClock();
    private final PoisonGate mGate =
            PoisonGate.of(Guards.withoutStrikes(mClock, mLoop), mLoop, new NoRuns(), mClock);

    @Test
    void shouldCountOneDeathOnceForAllItsRunsRegressionOfInnocentPoison() {
        var first = started(1);
        var second = started(2);

        var struckFirst = struckBy(mGate.onBackendDied(first));
        var struckSecond = struckBy(mGate.onBackendDied(second));

        assertThat(struckSecond, is(struckFirst));
    }

    @Test
    void shouldCountNextLifeAsAnotherServer() {
        var struckFirst = struckBy(mGate.onBackendDied(started(1)));

        var struckNext = struckBy(mGate.onBackendDied(started(2)));

        assertThat(struckNext.equals(struckFirst), is(false));
    }

    private Run started(int number) {
        var submit = Submit.newBuilder().setTeam("a").setBody(ByteString.copyFromUtf8("" + number));
        var id = AttemptId.of(RequestId.of(1, number), 1);
        var run = Run.of(id, submit.build(), Span.getInvalid(), 0, FakeConnections.open());
        assertThat(mGate.start(run), is(true));
        return run;
    }

    private static AgentIncarnation struckBy(ByteString message) {
        return PoisonCodec.decodeAll(message.toByteArray()).get().getFirst().server();
    }

    private static final class NoRuns implements PoisonGate.Runs {
        @Override
        public void proceed(Run run) {
            // The test starts its runs itself.
        }

        @Override
        public void end(Run run, BackendListener.End end, long retryAfterMillis) {
            throw new AssertionError("nothing is refused here");
        }
    }
}
