package org.fescueport.internal.log.poison;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.MockClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.decision.poison.PoisonAdmission;
import org.fescueport.internal.decision.poison.PoisonTracker;
import org.fescueport.internal.log.claim.SteppedLog;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PoisonGuardTest {
    private static final TimeUnit MILLIS = TimeUnit.MILLISECONDS;
    private static final Fingerprint CRASHING = fingerprint(1);
    private static final Fingerprint SOUND = fingerprint(2);
    private static final PoisonSettings SETTINGS =
            new PoisonSettings(new PoisonTracker.Limits(100, 600_000, 5_000), 200, 100, 50);

    /** Agents of one pool; the crashing request ends a server, which restarts after 300 ms. */
    private static final class Pool {
        final MockClock mClock = new MockClock();
        final DeterministicScheduler mScheduler = new DeterministicScheduler();
        final Random mRandom;
        final SteppedLog mLog;
        final List<PoisonGuard> mGuards = new ArrayList<>();
        final boolean[] mUp = new boolean[6];
        final List<Map<AttemptId, Fingerprint>> mRunning = new ArrayList<>();
        int mCrashes;
        int mCompleted;
        int mNextRequest;

        Pool(long seed) {
            mRandom = new Random(seed);
            mClock.add(1_800_000_000_000L, MILLIS);
            mLog = SteppedLog.create(mClock, mScheduler, mRandom);
            for (int i = 0; i < mUp.length; i++) {
                int number = i;
                mUp[i] = true;
                mRunning.add(new HashMap<>());
                mGuards.add(
                        PoisonGuard.start(
                                AgentIncarnation.of(NodeId.of("a" + i), 1000L * i),
                                mLog,
                                mClock,
                                mScheduler,
                                SETTINGS,
                                this::broadcast,
                                attempts -> cancel(number, attempts)));
            }
        }

        void broadcast(byte[] payload) {
            for (PoisonGuard guard : List.copyOf(mGuards)) {
                mScheduler.schedule(() -> guard.receive(payload), 1 + mRandom.nextInt(15), MILLIS);
            }
        }

        void step(long millis) {
            for (long i = 0; i < millis; i++) {
                mClock.add(1, MILLIS);
                mScheduler.tick(1, MILLIS);
            }
        }

        /** Sends a request as every router does: to the first live server, in the same order. */
        void send(Fingerprint fingerprint) {
            for (int i = 0; i < mUp.length; i++) {
                if (mUp[i]) {
                    submit(i, fingerprint);
                    return;
                }
            }
        }

        private void submit(int number, Fingerprint fingerprint) {
            PoisonGuard guard = mGuards.get(number);
            AttemptId attempt = AttemptId.of(RequestId.of(0, mNextRequest++), 1);
            guard.admit(fingerprint)
                    .thenAccept(
                            admission -> {
                                boolean fits =
                                        !(admission instanceof PoisonAdmission.RunAlone)
                                                || mRunning.get(number).isEmpty();
                                if (mUp[number] && fits && guard.started(attempt, fingerprint)) {
                                    run(number, attempt, fingerprint);
                                }
                            });
        }

        private void run(int number, AttemptId attempt, Fingerprint fingerprint) {
            mRunning.get(number).put(attempt, fingerprint);
            mScheduler.schedule(() -> end(number, attempt), 20 + mRandom.nextInt(40), MILLIS);
        }

        private void end(int number, AttemptId attempt) {
            Fingerprint fingerprint = mRunning.get(number).remove(attempt);
            if (CRASHING.equals(fingerprint)) {
                crash(number);
            } else if (fingerprint != null) {
                mGuards.get(number).ended(attempt);
                mCompleted++;
            }
        }

        private void crash(int number) {
            mCrashes++;
            mUp[number] = false;
            List<Fingerprint> failed = new ArrayList<>(mRunning.get(number).values());
            failed.add(CRASHING);
            mRunning.get(number).clear();
            AgentIncarnation server = mGuards.get(number).server();
            mGuards.get(number).serverDied();
            mScheduler.schedule(() -> mUp[number] = true, 300, MILLIS);
            failed.forEach(f -> mScheduler.schedule(() -> fail(f, server), 3, MILLIS));
        }

        /** Retries a request at another server as a router does, which reports the crash first. */
        private void fail(Fingerprint fingerprint, AgentIncarnation server) {
            byte[] message = PoisonGuard.strikeMessage(fingerprint, server, mClock.wallTime());
            for (int i = 0; i < mUp.length; i++) {
                if (mUp[i]) {
                    mGuards.get(i).receive(message);
                    submit(i, fingerprint);
                    return;
                }
            }
        }

        private void cancel(int number, List<AttemptId> attempts) {
            for (AttemptId attempt : attempts) {
                if (mRunning.get(number).remove(attempt) != null) {
                    mGuards.get(number).cancelled(attempt);
                }
            }
        }
    }

    @Test
    void shouldRefusePermanentlyAfterTheSecondCrash() {
        Pool pool = new Pool(1);
        for (int i = 0; i < 20; i++) {
            pool.send(CRASHING);
            pool.step(400);
        }

        assertThat(pool.mCrashes, is(2));
        assertThat(
                pool.mGuards.getLast().admit(CRASHING).getNow(null),
                instanceOf(PoisonAdmission.Poison.class));
    }

    @Test
    void shouldClearASoundSuspectByTrial() {
        Pool pool = new Pool(2);
        pool.send(SOUND);
        pool.send(CRASHING);
        pool.step(10_000);
        for (int i = 0; i < 5; i++) {
            pool.send(SOUND);
            pool.step(1_000);
        }

        assertThat(pool.mCompleted, greaterThan(3));
        assertThat(
                pool.mGuards.getLast().admit(SOUND).getNow(null),
                instanceOf(PoisonAdmission.Allowed.class));
    }

    @Test
    void shouldMakeSuspectsWaitWhileTheLogIsDown() {
        Pool pool = new Pool(3);
        pool.mLog.setDown(true);
        for (int i = 0; i < 10; i++) {
            pool.send(CRASHING);
            pool.step(400);
        }

        assertThat(pool.mCrashes, is(1));
    }

    @Test
    void shouldLimitTheNumberOfTrackedRequests() {
        PoisonTracker tracker = PoisonTracker.create(new PoisonTracker.Limits(10, 1_000, 100));
        AgentIncarnation server = AgentIncarnation.of(NodeId.of("a"), 1);
        for (int i = 0; i < 50; i++) {
            tracker.strike(fingerprint(i), server, i);
        }
        assertThat(tracker.size(), is(10));

        tracker.sweep(2_000);

        assertThat(tracker.size(), is(0));
    }

    /** Several routers send the crashing request repeatedly, with outages of the log. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38, 39, 40})
    void shouldCrashAtMostTwoServers(long seed) {
        Pool pool = new Pool(seed);
        for (int round = 0; round < 150; round++) {
            int routers = 1 + pool.mRandom.nextInt(3);
            for (int i = 0; i < routers; i++) {
                pool.send(CRASHING);
            }
            pool.send(fingerprint(100 + round % 5));
            pool.mLog.setDown(pool.mRandom.nextInt(5) == 0);
            pool.step(pool.mRandom.nextInt(200));
        }
        pool.mLog.setDown(false);
        pool.step(10_000);

        assertThat(pool.mCrashes, lessThanOrEqualTo(2));
        assertThat(pool.mCompleted, greaterThan(20));
    }

    private static Fingerprint fingerprint(int content) {
        return Fingerprint.of(TeamId.of("dams"), ContentHash.of(0, content));
    }
}
