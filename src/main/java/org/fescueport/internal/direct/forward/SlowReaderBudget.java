package org.fescueport.internal.direct.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Bounds the response bytes that this process holds for callers that have not read them.
 *
 * <p>A replica cuts off a response that is not read for some seconds, so this node reads on for a
 * slow caller while there is room. The room for one caller is half of what is free of the whole
 * (dynamic thresholds, as in the shared buffers of switches): a single slow caller may hold a third
 * of it, and the more callers are slow, the less each may hold, so that those with the most unread
 * bytes are paused first, and room for others is left. If the whole is exceeded nevertheless,
 * responses are cut off: first those of callers that have read nothing for a while, and of these
 * the one with the most unread bytes.
 *
 * <p>Must be called on the event loop only.
 *
 * <pre>{@code
 * var unread = budget.open(this::cutOff);
 * budget.update(unread, pendingBytes, now);
 * if (!budget.hasRoom(unread)) {
 *     pauseReading();
 * }
 * }</pre>
 */
public final class SlowReaderBudget {
    /** Time without reading after which a caller's response is cut off before those of others. */
    static final Duration STALL_TIME = Duration.ofSeconds(1);

    /** Of the free bytes, what one caller may hold. */
    private static final double PART_OF_FREE = 0.5;

    /** The unread bytes of one caller's connection. */
    static final class Unread {
        private final LongConsumer mCutOff;
        private long mBytes;
        private long mLastReadNanos;

        private Unread(LongConsumer cutOff) {
            mCutOff = cutOff;
        }

        long bytes() {
            return mBytes;
        }

        private boolean isStalled(long nowNanos) {
            return nowNanos - mLastReadNanos >= STALL_TIME.toNanos();
        }
    }

    private final long mMaxBytes;
    private final Set<Unread> mHolding = new HashSet<>();
    private final Counter mCutOffs;
    private long mBytes;
    private long mPeakBytes;

    private SlowReaderBudget(long maxBytes, MeterRegistry registry) {
        mMaxBytes = maxBytes;
        mCutOffs = registry.counter("fescue.slow.readers.cut");
        Gauge.builder("fescue.slow.readers", mHolding, Set::size).register(registry);
        Gauge.builder("fescue.unread.bytes", this, SlowReaderBudget::bytes).register(registry);
        Gauge.builder("fescue.unread.bytes.peak", this, SlowReaderBudget::peakBytes)
                .register(registry);
    }

    /**
     * Returns a budget of which nothing is in use.
     *
     * @param maxBytes of all callers together
     */
    public static SlowReaderBudget of(long maxBytes, MeterRegistry registry) {
        return new SlowReaderBudget(maxBytes, registry);
    }

    /**
     * Returns the account of a new connection.
     *
     * @param cutOff closes the connection to free its bytes; gets the number of them
     */
    Unread open(LongConsumer cutOff) {
        return new Unread(cutOff);
    }

    /** Records the bytes that have been written to a connection and not been read by its caller. */
    void update(Unread unread, long bytes, long nowNanos) {
        if (bytes < unread.mBytes || unread.mBytes == 0) {
            unread.mLastReadNanos = nowNanos;
        }
        mBytes += bytes - unread.mBytes;
        mPeakBytes = Math.max(mPeakBytes, mBytes);
        unread.mBytes = bytes;
        if (bytes == 0) {
            mHolding.remove(unread);
        } else {
            mHolding.add(unread);
        }
    }

    /** Returns whether more of the response may be read from the replica for this caller. */
    boolean hasRoom(Unread unread) {
        return unread.mBytes < PART_OF_FREE * (mMaxBytes - mBytes);
    }

    /** Cuts off responses until the bytes of the others are within the budget. */
    void cutExcess(long nowNanos) {
        while (mBytes > mMaxBytes) {
            Unread unread = firstToCut(nowNanos).orElseThrow();
            long bytes = unread.mBytes;
            update(unread, 0, nowNanos);
            mCutOffs.increment();
            unread.mCutOff.accept(bytes);
        }
    }

    private Optional<Unread> firstToCut(long nowNanos) {
        return mHolding.stream()
                .max(
                        Comparator.<Unread, Boolean>comparing(unread -> unread.isStalled(nowNanos))
                                .thenComparingLong(Unread::bytes)
                                .thenComparingLong(unread -> nowNanos - unread.mLastReadNanos));
    }

    /** Returns the bytes of all callers. */
    public long bytes() {
        return mBytes;
    }

    /** Returns the most bytes that were held at a time. */
    public long peakBytes() {
        return mPeakBytes;
    }

    /** Returns the bytes that may be held for all callers together. */
    public long maxBytes() {
        return mMaxBytes;
    }

    /** Returns how many bytes a connection holds that the operating system has not taken. */
    static long unwrittenBytes(Channel channel) {
        var outbound = channel.unsafe().outboundBuffer();
        return outbound == null ? 0 : outbound.totalPendingWriteBytes();
    }

    /**
     * Copies content that stays here for a while, because a small part of a large buffer would
     * occupy the whole buffer.
     */
    static ByteBuf compact(ByteBuf content) {
        ByteBuf copy = Unpooled.copiedBuffer(content);
        content.release();
        return copy;
    }
}
