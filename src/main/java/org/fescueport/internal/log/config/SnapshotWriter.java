package org.fescueport.internal.log.config;

import io.micrometer.core.instrument.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.port.LogService;

/**
 * Writes snapshots well inside the log's retention. Call {@link #writeIfDue} every minute or so on
 * the node that holds the lease for it; that two nodes write at once is harmless.
 */
public final class SnapshotWriter {
    private static final int SNAPSHOTS_PER_RETENTION = 4;

    private final LogService mLog;
    private final ConfigFollower mFollower;
    private final Clock mClock;
    private final long mEveryMillis;

    private SnapshotWriter(
            LogService log, ConfigFollower follower, Clock clock, long retentionMillis) {
        mLog = log;
        mFollower = follower;
        mClock = clock;
        mEveryMillis = retentionMillis / SNAPSHOTS_PER_RETENTION;
    }

    /** Returns a writer for a log that keeps records for {@code retentionMillis}. */
    public static SnapshotWriter create(
            LogService log, ConfigFollower follower, Clock clock, long retentionMillis) {
        return new SnapshotWriter(log, follower, clock, retentionMillis);
    }

    /** Appends a snapshot if the last one that this node saw is old; tells whether it did. */
    public CompletableFuture<Boolean> writeIfDue() {
        var now = TimeUnit.NANOSECONDS.toMillis(mClock.monotonicTime());
        var last = mFollower.snapshotAtMillis();
        var due = last == Long.MIN_VALUE || now - last >= mEveryMillis;
        if (!due || mFollower.currency() != ConfigFollower.Currency.BY_LOG) {
            return CompletableFuture.completedFuture(false);
        }
        ConfigRecord.Snapshot snapshot = mFollower.snapshot();
        if (snapshot.version() == 0) {
            return CompletableFuture.completedFuture(false);
        }
        return mLog.append(ConfigTail.STREAM, List.of(ConfigCodec.encode(snapshot)))
                .thenApply(offset -> true);
    }
}
