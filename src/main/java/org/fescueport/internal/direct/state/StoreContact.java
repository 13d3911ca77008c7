package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.Optional;

/**
 * When this node last knew that the store's list of replicas was being read, by itself or by the
 * node it relies on.
 *
 * <p>A replica's entry expires after three heartbeats that the store has not accepted, the last one
 * before them being at most one heartbeat older than the outage. So no entry expires in an outage
 * that is shorter than two heartbeats, and an outage is never longer than the time between the two
 * contacts around it. Not thread-safe; used only on the event loop.
 */
final class StoreContact {
    /** A little less than two heartbeats, whose interval varies. */
    private static final double HEARTBEATS_UNTIL_EXPIRY = 1.75;

    private final long mExpiryNanos;
    private Optional<Long> mLastNanos = Optional.empty();

    private StoreContact(long expiryNanos) {
        mExpiryNanos = expiryNanos;
    }

    /**
     * Returns a contact that has not been made yet.
     *
     * @param heartbeat interval at which live replicas write their entries
     */
    static StoreContact of(Duration heartbeat) {
        return new StoreContact((long) (heartbeat.toNanos() * HEARTBEATS_UNTIL_EXPIRY));
    }

    /** Records that the store is being read. */
    void onContact(long nowNanos) {
        mLastNanos = Optional.of(nowNanos);
    }

    /** Returns whether entries of live replicas may have expired since the last contact. */
    boolean mayHaveExpired(long nowNanos) {
        return mLastNanos.filter(last -> nowNanos - last >= mExpiryNanos).isPresent();
    }
}
