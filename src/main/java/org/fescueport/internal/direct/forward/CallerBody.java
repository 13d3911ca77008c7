package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * The body of a request that is being read, in one buffer. Received buffers are not kept, as a
 * chunk of one byte would keep everything that was read together with it.
 */
final class CallerBody {
    private final ByteBuf mBytes;
    private final long mExpectedBytes;

    /**
     * Creates an empty body.
     *
     * @param expectedBytes largest size that the body can have
     */
    CallerBody(ByteBufAllocator allocator, long expectedBytes) {
        mBytes = allocator.heapBuffer(0);
        mExpectedBytes = expectedBytes;
    }

    int size() {
        return mBytes.readableBytes();
    }

    /** Returns by how much the buffer grows to take these bytes as well. */
    int growth(int bytes) {
        return Math.max(0, capacityFor(bytes) - mBytes.capacity());
    }

    /** Appends the content and releases it. */
    void append(ByteBuf content) {
        int capacity = capacityFor(content.readableBytes());
        if (capacity > mBytes.capacity()) {
            mBytes.capacity(capacity);
        }
        mBytes.writeBytes(content);
        content.release();
    }

    /** Returns the buffer, of which the caller takes ownership. */
    ByteBuf bytes() {
        return mBytes;
    }

    void release() {
        mBytes.release();
    }

    /** Doubles the capacity, so that each byte is copied few times, but not above the size. */
    private int capacityFor(int more) {
        int needed = mBytes.readableBytes() + more;
        if (needed <= mBytes.capacity()) {
            return mBytes.capacity();
        }
        return (int) Math.max(needed, Math.min(mExpectedBytes, 2L * mBytes.capacity()));
    }
}
