package org.fescueport.internal.direct.forward;

/**
 * Counts what callers take of this process: connections, and bytes of bodies that are held.
 *
 * <p>Used by the event loop alone.
 */
public final class CallerQuota {
    /** Connections beyond the limit are taken to be refused with when to come back. */
    private static final double HARD_LIMIT_FACTOR = 1.25;

    private final int mMaxConnections;
    private final long mMaxBodyBytes;
    private long mBodyBytes;

    private CallerQuota(int maxConnections, long maxBodyBytes) {
        mMaxConnections = maxConnections;
        mMaxBodyBytes = maxBodyBytes;
    }

    /** Returns a quota of which nothing is taken. */
    public static CallerQuota of(int maxConnections, long maxBodyBytes) {
        return new CallerQuota(maxConnections, maxBodyBytes);
    }

    /** Returns whether this many connections are too many to be served. */
    boolean isExceededBy(int connections) {
        return connections > mMaxConnections;
    }

    /** Returns whether this many are too many even to be told so. */
    boolean isFarExceededBy(int connections) {
        return connections > HARD_LIMIT_FACTOR * mMaxConnections;
    }

    /** Takes bytes of a body; false when there is no room for them. */
    boolean tryReserve(int bytes) {
        if (mBodyBytes + bytes > mMaxBodyBytes) {
            return false;
        }
        mBodyBytes += bytes;
        return true;
    }

    /** Gives bytes back that are no longer held. */
    void release(long bytes) {
        mBodyBytes -= bytes;
    }
}
