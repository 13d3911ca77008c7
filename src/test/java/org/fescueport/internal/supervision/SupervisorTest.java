package org.fescueport.internal.supervision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;

class SupervisorTest {
    private static final RestartPolicy POLICY =
            new RestartPolicy(
                    Duration.ofMillis(100), Duration.ofSeconds(1), 3, Duration.ofMinutes(1));

    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final MockClock mClock = new MockClock();
    private final List<String> mEvents = new ArrayList<>();
    private final List<Throwable> mRootFailures = new ArrayList<>();
    private FailureListener mListener;

    @Test
    void shouldStartInOrderAndStopInReverse() throws Exception {
        var root = supervisor("root").add(recording("a")).add(recording("b"));

        root.start(mRootFailures::add);
        root.stop();

        assertThat(mEvents, contains("start a", "start b", "stop b", "stop a"));
    }

    @Test
    void shouldRestartAFailedChildAfterTheBackoff() throws Exception {
        supervisor("root").add(recording("a")).start(mRootFailures::add);

        mListener.onFailure(new IllegalStateException("broken"));
        advance(99);
        assertThat(mEvents, contains("start a", "stop a"));
        advance(1);

        assertThat(mEvents, contains("start a", "stop a", "start a"));
        assertThat(mRootFailures, is(empty()));
    }

    @Test
    void shouldTakeItsParentDownWhenAChildKeepsFailing() throws Exception {
        var inner = supervisor("inner").add(recording("a"));
        var root = supervisor("root").add(inner);
        root.start(mRootFailures::add);

        for (int i = 0; i < 200 && mRootFailures.isEmpty(); i++) {
            mListener.onFailure(new IllegalStateException("broken"));
            advance(1000);
        }

        assertThat(mRootFailures, hasSize(1));
        assertThat(root.tree(), containsString("inner"));
    }

    private void advance(long millis) {
        mClock.add(Duration.ofMillis(millis));
        mScheduler.tick(millis, TimeUnit.MILLISECONDS);
    }

    private Supervisor supervisor(String name) {
        return Supervisor.of(name, POLICY, mScheduler, mClock);
    }

    private Worker recording(String name) {
        return Worker.of(
                name,
                onFailure -> {
                    mListener = onFailure;
                    mEvents.add("start " + name);
                    return () -> mEvents.add("stop " + name);
                });
    }
}
