package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/**
 * Holds an answer until it is whole, so that a cut one can be replaced; large ones are passed on as
 * they come once they no longer fit.
 */
final class WholeRelay implements AnswerRelay {
    /** Answers up to this size are held, in bytes. */
    private static final int MAX_HELD = 65_536;

    private final CallerSide mCaller;
    private final WireProtocol mProtocol;
    private ByteBuf mHeld = Unpooled.EMPTY_BUFFER;
    private AnswerHead mHead;
    private boolean mBegun;

    WholeRelay(CallerSide caller, WireProtocol protocol) {
        mCaller = caller;
        mProtocol = protocol;
    }

    @Override
    public void onHead(AnswerHead head) {
        mHead = head;
    }

    @Override
    public void onContent(ByteBuf content) {
        if (mBegun) {
            mCaller.sendContent(content);
            return;
        }
        mHeld = mHeld.isReadable() ? Unpooled.wrappedBuffer(mHeld, content) : content;
        if (mHeld.readableBytes() > MAX_HELD) {
            begin();
        }
    }

    @Override
    public void finish() {
        if (!mBegun) {
            begin();
        }
        mCaller.finish();
    }

    @Override
    public void restart() {
        mHead = null;
        mHeld.release();
        mHeld = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public boolean hasBegun() {
        return mBegun;
    }

    @Override
    public Optional<String> lastEventId() {
        return Optional.empty();
    }

    @Override
    public void close() {
        restart();
    }

    private void begin() {
        mBegun = true;
        mCaller.sendHead(mProtocol.writeAnswer(mHead));
        if (mHeld.isReadable()) {
            mCaller.sendContent(mHeld);
            mHeld = Unpooled.EMPTY_BUFFER;
        }
    }
}
