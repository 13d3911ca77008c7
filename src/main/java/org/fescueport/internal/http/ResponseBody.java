package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * Queue between the threads that write an answer and the I/O thread that sends it.
 *
 * <p>A piece is handed to the connection by the writing thread when nothing waits, which spares a
 * turn of the I/O thread; else it waits until the connection can take more.
 */
final class ResponseBody implements ResponseStream {
    private static final int FLUSH_BYTES = 16 << 10;

    private final ReentrantLock mLock = new ReentrantLock();
    private final Queue<ByteBuffer> mPieces = new ArrayDeque<>();
    private final Runnable mAbort;
    private DataStreamChannel mChannel;
    private Runnable mOnDrained = () -> {};
    private int mWaitingBytes;
    private boolean mFlushing;
    private boolean mEnding;
    private boolean mEnded;
    private boolean mBroken;

    ResponseBody(Runnable abort) {
        mAbort = abort;
    }

    @Override
    public int write(byte[] piece) {
        mLock.lock();
        try {
            if (mEnding || mBroken) {
                return 0;
            }
            mPieces.add(ByteBuffer.wrap(piece));
            mWaitingBytes += piece.length;
            pushFromWriter();
            return mWaitingBytes;
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public void onDrained(Runnable action) {
        mLock.lock();
        mOnDrained = action;
        mLock.unlock();
    }

    @Override
    public void end() {
        mLock.lock();
        try {
            if (mEnding || mBroken) {
                return;
            }
            mEnding = true;
            pushFromWriter();
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public void abort() {
        markBroken();
        mAbort.run();
    }

    /** Returns whether the connection should ask for output. */
    int available() {
        mLock.lock();
        try {
            return mWaitingBytes > 0 || mFlushing || mEnding && !mEnded ? 1 : 0;
        } finally {
            mLock.unlock();
        }
    }

    /** Sends what waits; called on an I/O thread when the connection can take more. */
    void produce(DataStreamChannel channel) throws IOException {
        boolean drained;
        mLock.lock();
        try {
            mChannel = channel;
            mFlushing = false;
            boolean waited = mWaitingBytes > 0;
            send();
            drained = waited && mWaitingBytes == 0 && !mEnded;
        } finally {
            mLock.unlock();
        }
        if (drained) {
            mOnDrained.run();
        }
    }

    boolean isEnded() {
        mLock.lock();
        try {
            return mEnded;
        } finally {
            mLock.unlock();
        }
    }

    void markBroken() {
        mLock.lock();
        mBroken = true;
        mPieces.clear();
        mWaitingBytes = 0;
        mLock.unlock();
    }

    private void pushFromWriter() {
        if (mChannel == null || mFlushing && mWaitingBytes > 0) {
            return;
        }
        try {
            send();
            if (!mEnded) {
                mChannel.requestOutput();
            }
        } catch (IOException e) {
            mBroken = true;
        }
    }

    private void send() throws IOException {
        if (mBroken) {
            return;
        }
        int sent = 0;
        while (!mPieces.isEmpty() && sent < FLUSH_BYTES) {
            ByteBuffer piece = mPieces.peek();
            sent += mChannel.write(piece);
            if (piece.hasRemaining()) {
                break;
            }
            mPieces.remove();
        }
        mWaitingBytes -= sent;
        mFlushing |= sent > 0;
        if (mPieces.isEmpty() && mEnding && !mEnded) {
            mEnded = true;
            mChannel.endStream();
        }
    }
}
