package org.fescueport.internal.direct.forward;

/**
 * Limits the resources of this process that callers use: connections, and bytes of buffered request
 * bodies.
 *
 * <p>Must be called on the event loop only.
 */
public final class CallerQuota {
    /**
     * Connections up to this multiple of the limit are accepted, if only to refuse their requests
     * with a Retry-After.
     */
    private static final double HARD_LIMIT_FACTOR = 1.25;

    private final int mMaxConnections;
    private final long mMaxBodyBytes;
    private long mBodyBytes;

    private CallerQuota(int maxConnections, long maxBodyBytes) {
        mMaxConnections = maxConnections;
        mMaxBodyBytes = maxBodyBytes;
    }

    /** Returns a quota of which nothing is in use. */
    public static CallerQuota of(int maxConnections, long maxBodyBytes) {
        return new CallerQuota(maxConnections, maxBodyBytes);
    }

    /** Returns whether this number of connections is too large for all of them to be served. */
    boolean isExceededBy(int connections) {
        return connections > mMaxConnections;
    }

    /**
     * Returns whether this number of connections is too large even to refuse their requests with a
     * response.
     */
    boolean isFarExceededBy(int connections) {
        return connections > HARD_LIMIT_FACTOR * mMaxConnections;
    }

    /** Reserves bytes for a request body; returns false if they exceed the quota. */
    boolean tryReserve(int bytes) {
        if (mBodyBytes + bytes > mMaxBodyBytes) {
            return false;
        }
        mBodyBytes += bytes;
        return true;
    }

    /** Releases bytes that were reserved. */
    void release(long bytes) {
        mBodyBytes -= bytes;
    }
}
