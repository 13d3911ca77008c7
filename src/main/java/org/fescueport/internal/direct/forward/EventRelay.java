package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/**
 * Passes whole events on, so that another replica can go on behind the last one; the caller sees
 * one answer with the head of the first replica.
 */
final class EventRelay implements AnswerRelay {
    private final CallerSide mCaller;
    private final WireProtocol mProtocol;
    private final EventCutter mCutter = new EventCutter();
    private AnswerHead mHead;
    private ByteBuf mFailure = Unpooled.EMPTY_BUFFER;
    private boolean mBegun;
    private boolean mEvents;

    EventRelay(CallerSide caller, WireProtocol protocol) {
        mCaller = caller;
        mProtocol = protocol;
    }

    @Override
    public void onHead(AnswerHead head) {
        mEvents = head.isSuccess();
        if (!mBegun) {
            mHead = head;
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        if (!mEvents) {
            // The short body of a failure, which another attempt may replace.
            mFailure = Unpooled.wrappedBuffer(mFailure, content);
            return;
        }
        ByteBuf events = mCutter.feed(content);
        if (events.isReadable()) {
            begin();
            mCaller.sendContent(events);
        }
    }

    @Override
    public void finish() {
        begin();
        if (mFailure.isReadable()) {
            mCaller.sendContent(mFailure);
            mFailure = Unpooled.EMPTY_BUFFER;
        }
        mCaller.finish();
    }

    @Override
    public void restart() {
        close();
        if (!mBegun) {
            mHead = null;
        }
    }

    @Override
    public boolean hasBegun() {
        return mBegun;
    }

    @Override
    public Optional<String> lastEventId() {
        return mCutter.lastId();
    }

    @Override
    public void close() {
        mCutter.dropPartial();
        mFailure.release();
        mFailure = Unpooled.EMPTY_BUFFER;
    }

    private void begin() {
        if (!mBegun) {
            mBegun = true;
            mCaller.sendHead(mProtocol.writeAnswer(mHead.withoutLength()));
        }
    }
}
