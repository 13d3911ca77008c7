package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.fescueport.internal.direct.config.RequestKind;

/**
 * Forwards a replica's response to the caller, who sees a single response with the head of the
 * first replica whose response was forwarded.
 *
 * <p>A response that is not a stream is buffered until it is complete, so that another replica's
 * can replace it if it is cut off; so is an error response to a stream request. Streams are
 * forwarded as they arrive; resumable ones in complete events, so that another replica can continue
 * after the last event.
 */
final class ResponseRelay {
    /** Responses up to this size are buffered; larger ones are forwarded as they arrive. */
    private static final int MAX_BUFFERED_BYTES = 65_536;

    private final RequestKind mKind;
    private final ResponseWriter mResponseWriter;
    private final WireProtocol mProtocol;
    private final EventSplitter mEventSplitter = new EventSplitter();

    /** Follows events that are forwarded before they are complete. */
    private final EventScanner mScanner = new EventScanner();

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

    /**
     * Returns whether a response with this head can be forwarded: there is none yet, or it can
     * continue the one that has been started.
     */
    boolean accepts(ResponseHead head) {
        return !mStarted || head.continues(mHead);
    }

    /** Receives the head of a replica's response, which must be acceptable. */
    void onHead(ResponseHead head) {
        if (!mStarted) {
            mHead = head;
        }
        mEventSplitter.beginRun();
    }

    /** Receives part of the body. Takes ownership of the buffer. */
    void onContent(ByteBuf content) {
        boolean stream = mKind.isStream() && mHead.isSuccess();
        if (isResumable()) {
            forward(mEventSplitter.feed(content));
        } else if (stream && !mKind.isRepeatable()) {
            mScanner.feed(content);
            forward(content);
        } else if (mStarted) {
            forward(content);
        } else {
            bufferContent(content);
        }
    }

    /** Returns whether whole events are forwarded, so that another replica can continue. */
    private boolean isResumable() {
        return mKind.isStream() && mKind.isRepeatable() && mHead.isEventStream();
    }

    /** Ends the caller's response as complete. */
    void finish() {
        start();
        forward(mEventSplitter.takePartial());
        mResponseWriter.finish();
    }

    /**
     * Discards what has been received but not forwarded; another response may replace or continue
     * this one.
     */
    void discardBuffered() {
        mEventSplitter.discardPartial();
        mBuffered.release();
        mBuffered = Unpooled.EMPTY_BUFFER;
    }

    /** Returns whether part of a response has been sent to the caller. */
    boolean hasStarted() {
        return mStarted;
    }

    /** Returns whether another replica's response can replace this one or continue it. */
    boolean canContinueElsewhere() {
        return !mStarted || (isResumable() && mEventSplitter.canResume());
    }

    /** Returns why the rest of this response cannot be forwarded; absent if it can. */
    Optional<String> unusableReason() {
        if (mEventSplitter.isPartialEventTooLong()) {
            return Optional.of("an event without end");
        }
        return mEventSplitter.isOutOfSequence()
                ? Optional.of("an event that does not follow the last one")
                : Optional.empty();
    }

    /**
     * Returns whether these bytes exceed the buffer, so that {@link #onContent} would begin to
     * forward the response.
     */
    boolean exceedsBufferLimit(ByteBuf content) {
        return !mStarted
                && mBuffered.readableBytes() + content.readableBytes() > MAX_BUFFERED_BYTES;
    }

    /**
     * Returns whether a body that has ended is incomplete nevertheless: an event stream that ended
     * with its connection inside an event, or one that continues another and ended so in any way.
     *
     * @param endedByClose whether only the closing of the connection marked the end
     */
    boolean isBrokenOff(boolean endedByClose) {
        if (isResumable()) {
            boolean mustBeWhole = endedByClose || mEventSplitter.isResumed();
            return mustBeWhole && mEventSplitter.hasPartialEvent();
        }
        boolean events = mKind.isStream() && mHead.isEventStream();
        return endedByClose && events && mScanner.isInsideEvent();
    }

    /** Returns the id of the last complete event that was forwarded and had one. */
    Optional<String> lastEventId() {
        return mEventSplitter.lastId();
    }

    private void forward(ByteBuf content) {
        if (content.isReadable()) {
            start();
            mResponseWriter.sendContent(content);
        }
    }

    /**
     * Copies the content, because very many small parts would otherwise form a chain of as many
     * buffers.
     */
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
