package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.fescueport.internal.direct.config.RequestKind;

/**
 * Passes a replica's answer on; the caller sees one answer with the head of the first replica.
 *
 * <p>A plain answer is held until it is whole, so that a cut one can be replaced, and so is a
 * stream's failure. Other streams are passed on as they come; those that may be resumed in whole
 * events, so that another replica can go on behind the last one.
 */
final class AnswerRelay {
    /** Answers up to this size are held, in bytes; larger ones are passed on as they come. */
    private static final int MAX_HELD = 65_536;

    private final RequestKind mKind;
    private final CallerSide mCaller;
    private final WireProtocol mProtocol;
    private final EventCutter mCutter = new EventCutter();
    private ByteBuf mHeld = Unpooled.EMPTY_BUFFER;
    private AnswerHead mHead;
    private boolean mBegun;

    private AnswerRelay(RequestKind kind, CallerSide caller, WireProtocol protocol) {
        mKind = kind;
        mCaller = caller;
        mProtocol = protocol;
    }

    /** Returns the relay for a request of this kind. */
    static AnswerRelay of(RequestKind kind, CallerSide caller, WireProtocol protocol) {
        return new AnswerRelay(kind, caller, protocol);
    }

    /** Takes the head of a replica's answer. */
    void onHead(AnswerHead head) {
        mHead = head;
    }

    /** Takes part of its body; the buffer is handed over. */
    void onContent(ByteBuf content) {
        boolean stream = mKind.isStream() && mHead.isSuccess();
        if (stream && mKind.isRepeatable()) {
            pass(mCutter.feed(content));
        } else if (stream || mBegun) {
            pass(content);
        } else {
            hold(content);
        }
    }

    /** Ends the caller's answer as complete. */
    void finish() {
        begin();
        pass(mCutter.takePartial());
        mCaller.finish();
    }

    /** Forgets what has come and was not passed on; another answer may replace or continue it. */
    void dropHeld() {
        mCutter.dropPartial();
        mHeld.release();
        mHeld = Unpooled.EMPTY_BUFFER;
    }

    /** Returns whether the caller has been sent part of an answer. */
    boolean hasBegun() {
        return mBegun;
    }

    /** Returns whether another answer can replace this one, or go on behind it. */
    boolean isReplaceable() {
        return !mBegun || mCutter.lastId().isPresent();
    }

    /** Returns whether an event goes on for longer than any may be. */
    boolean isEventOverlong() {
        return mCutter.isOverlong();
    }

    /** Returns whether with these bytes more is there than is held; it is passed on then. */
    boolean isTooLongToHold(ByteBuf content) {
        return !mBegun && mHeld.readableBytes() + content.readableBytes() > MAX_HELD;
    }

    /** Returns whether the last event has begun and not ended. */
    boolean isInsideEvent() {
        return mCutter.isInsideEvent();
    }

    /** Returns the last event that was passed on whole. */
    Optional<String> lastEventId() {
        return mCutter.lastId();
    }

    private void pass(ByteBuf content) {
        if (content.isReadable()) {
            begin();
            mCaller.sendContent(content);
        }
    }

    /** Copies, as very many small pieces would make a chain of as many buffers. */
    private void hold(ByteBuf content) {
        if (mHeld == Unpooled.EMPTY_BUFFER) {
            mHeld = Unpooled.buffer(content.readableBytes());
        }
        mHeld.writeBytes(content);
        content.release();
        if (mHeld.readableBytes() > MAX_HELD) {
            begin();
        }
    }

    private void begin() {
        if (mBegun) {
            return;
        }
        mBegun = true;
        AnswerHead head = mKind.isStream() ? mHead.withoutLength() : mHead;
        mCaller.sendHead(mProtocol.writeAnswer(head));
        ByteBuf held = mHeld;
        mHeld = Unpooled.EMPTY_BUFFER;
        pass(held);
    }
}
