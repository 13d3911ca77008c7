package org.fescueport.internal.direct.forward;

/**
 * Limits the resources of this process that callers use: connections, bytes of buffered request
 * bodies, and the memory that the heads of their requests take.
 *
 * <p>Must be called on the event loop only.
 */
public final class CallerQuota {
    /**
     * Connections up to this multiple of the limit are accepted, if only to refuse their requests
     * with a Retry-After.
     */
    private static final double HARD_LIMIT_FACTOR = 1.25;

    /**
     * A head up to this size is ordinary: the largest value that the default limit of headers
     * allows, the buffer in which it was read, and some 150 lines. Only these may use the second
     * half of the memory for heads.
     */
    private static final long ORDINARY_HEAD_BYTES = 65_536;

    private final int mMaxConnections;
    private final long mMaxBodyBytes;
    private final long mMaxHeadBytes;
    private long mBodyBytes;
    private long mHeadBytes;

    private CallerQuota(int maxConnections, long maxBodyBytes, long maxHeadBytes) {
        mMaxConnections = maxConnections;
        mMaxBodyBytes = maxBodyBytes;
        mMaxHeadBytes = maxHeadBytes;
    }

    /** Returns a quota of which nothing is in use. */
    public static CallerQuota of(int maxConnections, long maxBodyBytes, long maxHeadBytes) {
        return new CallerQuota(maxConnections, maxBodyBytes, maxHeadBytes);
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

    /**
     * Reserves memory for a head; returns false if it exceeds the quota.
     *
     * @param total what the head then takes
     */
    boolean tryReserveHead(long bytes, long total) {
        long limit = total > ORDINARY_HEAD_BYTES ? mMaxHeadBytes / 2 : mMaxHeadBytes;
        if (mHeadBytes + bytes > limit) {
            return false;
        }
        mHeadBytes += bytes;
        return true;
    }

    /** Returns whether only ordinary heads are read further. */
    boolean isHeadRoomShort() {
        return mHeadBytes > mMaxHeadBytes / 2;
    }

    /** Releases memory that was reserved for a head. */
    void releaseHead(long bytes) {
        mHeadBytes -= bytes;
    }

    /** Releases bytes that were reserved for a body. */
    void release(long bytes) {
        mBodyBytes -= bytes;
    }
}
