package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/** Passes bytes on as they come; the head waits for the first of them. */
final class StreamRelay implements AnswerRelay {
    private final CallerSide mCaller;
    private final WireProtocol mProtocol;
    private AnswerHead mHead;
    private boolean mBegun;

    StreamRelay(CallerSide caller, WireProtocol protocol) {
        mCaller = caller;
        mProtocol = protocol;
    }

    @Override
    public void onHead(AnswerHead head) {
        mHead = head;
    }

    @Override
    public void onContent(ByteBuf content) {
        begin();
        mCaller.sendContent(content);
    }

    @Override
    public void finish() {
        begin();
        mCaller.finish();
    }

    @Override
    public void restart() {
        mHead = null;
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
        // Nothing is held.
    }

    private void begin() {
        if (!mBegun) {
            mBegun = true;
            mCaller.sendHead(mProtocol.writeAnswer(mHead.withoutLength()));
        }
    }
}
