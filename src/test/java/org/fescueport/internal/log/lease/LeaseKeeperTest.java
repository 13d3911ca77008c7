package org.fescueport.internal.log.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.MockClock;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.lease.LeaseHolder;
import org.fescueport.testing.FakeLogService;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;

class LeaseKeeperTest {
    private static final String LEASE = "config-snapshots";
    private static final long RETENTION_MILLIS = 60_000;

    private final MockClock mClock = new MockClock();
    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final FakeLogService mLog = FakeLogService.create(mClock, mScheduler, 5);
    private final FakeLogService mFirstLog = mLog.view();
    private final LeaseKeeper mFirst = keeper("first", mFirstLog);
    private final LeaseKeeper mSecond = keeper("second", mLog);

    @Test
    void shouldGiveTheLeaseToOneAndKeepIt() {
        advance(60_000);
        assertThat(holders(), is(1));
        assertThat(mFirst.token(LEASE).or(() -> mSecond.token(LEASE)).get(), lessThanOrEqualTo(2L));
    }

    @Test
    void shouldPassTheLeaseOnWithAHigherTokenAfterItEnded() {
        advance(5_000);
        var first = mFirst.token(LEASE).get();
        mFirstLog.setDown(true);
        advance(9_000);
        assertThat("stopped early", mFirst.token(LEASE), is(Optional.empty()));
        advance(9_000);
        assertThat(mSecond.token(LEASE).get(), greaterThan(first));
    }

    @Test
    void shouldPassTheLeaseOnAtOnceWhenItIsGivenBack() {
        advance(5_000);
        mFirst.close();
        advance(3_000);
        assertThat(mSecond.token(LEASE).isPresent(), is(true));
    }

    @Test
    void shouldSettleLostAnswersByReadingBack() {
        mFirstLog.setLostAnswers(1);
        advance(30_000);
        assertThat(mFirst.token(LEASE).isPresent(), is(true));
    }

    @Test
    void shouldStartFromASnapshotWhenOlderRecordsAreGone() {
        for (var i = 0; i < 20; i++) {
            advance(10_000);
            mLog.dropOlderThan(LeaseTail.STREAM, RETENTION_MILLIS);
        }
        var token = mFirst.token(LEASE).get();
        var reader = LeaseReader.create(mLog, mClock);
        assertThat(reader.newest(LEASE).join().token(), is(token));
        var late = keeper("late", mLog);
        advance(20_000);
        assertThat(late.token(LEASE), is(Optional.empty()));
        assertThat(holders(), is(1));
    }

    private int holders() {
        return (mFirst.token(LEASE).isPresent() ? 1 : 0)
                + (mSecond.token(LEASE).isPresent() ? 1 : 0);
    }

    private LeaseKeeper keeper(String node, FakeLogService log) {
        var keeper =
                LeaseKeeper.create(
                        log,
                        LeaseHolder.of(NodeId.of(node), 1),
                        mScheduler,
                        mClock,
                        new SimpleMeterRegistry(),
                        LeaseKeeper.Settings.of(RETENTION_MILLIS));
        keeper.stand(LEASE);
        keeper.start();
        return keeper;
    }

    private void advance(long millis) {
        for (var at = 0; at < millis; at += 100) {
            mClock.add(100, TimeUnit.MILLISECONDS);
            mScheduler.tick(100, TimeUnit.MILLISECONDS);
        }
    }
}
