package org.fescueport.internal.log.lease;

import io.micrometer.core.instrument.Clock;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.lease.LeaseFold;
import org.fescueport.internal.decision.lease.LeaseRecord;
import org.fescueport.internal.decision.lease.LeaseState;
import org.fescueport.port.LogService;
import org.fescueport.port.PlatformException;

/**
 * Reads on demand which token is the newest of a lease: for agents before engines that ignore
 * tokens. Use it from one thread at a time.
 */
public final class LeaseReader {
    private static final int PAGE_RECORDS = 500;

    /** A lease's newest token, 0 for none, and when the read that found it was sent. */
    public record Newest(long token, long sentAtNanos) {}

    private final LogService mLog;
    private final Clock mClock;
    private final LeaseTail mTail = new LeaseTail(new Ignore());

    private LeaseReader(LogService log, Clock clock) {
        mLog = log;
        mClock = clock;
    }

    /** Returns a reader of this log. */
    public static LeaseReader create(LogService log, Clock clock) {
        return new LeaseReader(log, clock);
    }

    /** Reads to the end of the stream; fails while the log is down. */
    public CompletableFuture<Newest> newest(String lease) {
        var sentAtNanos = mClock.monotonicTime();
        return mLog.read(LeaseTail.STREAM, mTail.nextRead(), PAGE_RECORDS)
                .thenCompose(
                        page ->
                                switch (mTail.take(page)) {
                                    case MORE -> newest(lease);
                                    case CAUGHT_UP -> found(lease, sentAtNanos);
                                    case GAP, LOG_BEHIND -> unknown(lease);
                                });
    }

    private CompletableFuture<Newest> found(String lease, long sentAtNanos) {
        var token = mTail.fold().lease(lease).map(LeaseState::token).orElse(0L);
        return CompletableFuture.completedFuture(new Newest(token, sentAtNanos));
    }

    private static CompletableFuture<Newest> unknown(String lease) {
        var message = "the holder of lease " + lease + " can't be told: records of it are gone";
        return CompletableFuture.failedFuture(PlatformException.didNotHappen(message, null));
    }

    private static final class Ignore implements LeaseTail.Listener {
        @Override
        public void onAccepted(LeaseRecord.Claim claim, LeaseState state) {}

        @Override
        public void onSnapshotSeen() {}

        @Override
        public void onAdopted(LeaseFold fold) {}
    }
}
