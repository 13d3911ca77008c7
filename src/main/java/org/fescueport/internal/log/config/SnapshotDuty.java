package org.fescueport.internal.log.config;

import io.micrometer.core.instrument.Clock;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.log.lease.LeaseKeeper;
import org.fescueport.port.LogService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the configuration's snapshots while this node holds the lease for it. Let a few nodes
 * stand, such as the first three of the list of VMs; none is set aside.
 *
 * <pre>{@code
 * var duty = SnapshotDuty.start(keeper, log, follower, executor, clock, retentionMillis);
 * duty.setCandidate(isAmongTheFirstThree);
 * }</pre>
 */
public final class SnapshotDuty implements AutoCloseable {
    /** The lease of whoever writes snapshots. */
    public static final String LEASE = "config-snapshots";

    private static final Logger LOG = LoggerFactory.getLogger(SnapshotDuty.class);
    private static final int LOOK_MILLIS = 5_000;

    private final LeaseKeeper mKeeper;
    private final SnapshotWriter mWriter;
    private final ScheduledFuture<?> mTask;
    private volatile boolean mFailed;

    private SnapshotDuty(
            LeaseKeeper keeper, SnapshotWriter writer, ScheduledExecutorService executor) {
        mKeeper = keeper;
        mWriter = writer;
        mTask =
                executor.scheduleWithFixedDelay(
                        this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Starts the duty; this node is no candidate yet. */
    public static SnapshotDuty start(
            LeaseKeeper keeper,
            LogService log,
            ConfigFollower follower,
            ScheduledExecutorService executor,
            Clock clock,
            long retentionMillis) {
        var writer = SnapshotWriter.create(log, follower, clock, retentionMillis);
        return new SnapshotDuty(keeper, writer, executor);
    }

    /** Says whether this node stands for the lease; may be said again at any time. */
    public void setCandidate(boolean candidate) {
        if (candidate) {
            mKeeper.stand(LEASE);
        } else {
            mKeeper.withdraw(LEASE);
        }
    }

    /** Stops; the keeper is closed by whoever made it. */
    @Override
    public void close() {
        mTask.cancel(false);
        mKeeper.withdraw(LEASE);
    }

    private void look() {
        if (mKeeper.token(LEASE).isEmpty()) {
            return;
        }
        mWriter.writeIfDue().whenComplete((written, failure) -> onWritten(failure));
    }

    private void onWritten(Throwable failure) {
        var failed = failure != null;
        if (failed != mFailed) {
            mFailed = failed;
            LOG.warn(failed ? "no snapshot could be written: {}" : "snapshots again{}", failure);
        }
    }
}
