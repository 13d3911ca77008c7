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
final class ResponseRelay {
    /** Answers up to this size are held, in bytes; larger ones are passed on as they come. */
    private static final int MAX_BUFFERED_BYTES = 65_536;

    private final RequestKind mKind;
    private final ResponseWriter mResponseWriter;
    private final WireProtocol mProtocol;
    private final EventSplitter mEventSplitter = new EventSplitter();
    private ByteBuf mBuffered = Unpooled.EMPTY_BUFFER;
    private ResponseHead mHead;
    private boolean mStarted;

    private ResponseRelay(RequestKind kind, ResponseWriter responseWriter, WireProtocol protocol) {
        mKind = kind;
        mResponseWriter = responseWriter;
        mProtocol = protocol;
    }

    /** Returns the relay for a request of this kind. */
    static ResponseRelay of(
            RequestKind kind, ResponseWriter responseWriter, WireProtocol protocol) {
        return new ResponseRelay(kind, responseWriter, protocol);
    }

    /** Takes the head of a replica's answer. */
    void onHead(ResponseHead head) {
        mHead = head;
    }

    /** Takes part of its body; the buffer is handed over. */
    void onContent(ByteBuf content) {
        boolean stream = mKind.isStream() && mHead.isSuccess();
        if (stream && mKind.isRepeatable()) {
            forward(mEventSplitter.feed(content));
        } else if (stream || mStarted) {
            forward(content);
        } else {
            bufferContent(content);
        }
    }

    /** Ends the caller's answer as complete. */
    void finish() {
        start();
        forward(mEventSplitter.takePartial());
        mResponseWriter.finish();
    }

    /** Forgets what has come and was not passed on; another answer may replace or continue it. */
    void discardBuffered() {
        mEventSplitter.discardPartial();
        mBuffered.release();
        mBuffered = Unpooled.EMPTY_BUFFER;
    }

    /** Returns whether the caller has been sent part of an answer. */
    boolean hasStarted() {
        return mStarted;
    }

    /** Returns whether another answer can replace this one, or go on behind it. */
    boolean canContinueElsewhere() {
        return !mStarted || mEventSplitter.lastId().isPresent();
    }

    /** Returns whether an event goes on for longer than any may be. */
    boolean isEventTooLong() {
        return mEventSplitter.isPartialEventTooLong();
    }

    /** Returns whether with these bytes more is there than is held; it is passed on then. */
    boolean exceedsBufferLimit(ByteBuf content) {
        return !mStarted
                && mBuffered.readableBytes() + content.readableBytes() > MAX_BUFFERED_BYTES;
    }

    /** Returns whether the last event has begun and not ended. */
    boolean hasPartialEvent() {
        return mEventSplitter.hasPartialEvent();
    }

    /** Returns the last event that was passed on whole. */
    Optional<String> lastEventId() {
        return mEventSplitter.lastId();
    }

    private void forward(ByteBuf content) {
        if (content.isReadable()) {
            start();
            mResponseWriter.sendContent(content);
        }
    }

    /** Copies, as very many small pieces would make a chain of as many buffers. */
    private void bufferContent(ByteBuf content) {
        if (mBuffered == Unpooled.EMPTY_BUFFER) {
            mBuffered = Unpooled.buffer(content.readableBytes());
        }
        mBuffered.writeBytes(content);
        content.release();
        if (mBuffered.readableBytes() > MAX_BUFFERED_BYTES) {
            start();
        }
    }

    private void start() {
        if (mStarted) {
            return;
        }
        mStarted = true;
        ResponseHead head = mKind.isStream() ? mHead.withoutLength() : mHead;
        mResponseWriter.sendHead(mProtocol.writeResponseHead(head));
        ByteBuf held = mBuffered;
        mBuffered = Unpooled.EMPTY_BUFFER;
        forward(held);
    }
}
