package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;

/**
 * One connection to a replica, with at most one request on it.
 *
 * <p>It takes only what answers its request: bytes that come while nothing is asked end the
 * connection, and whole answers to another request are passed over. It is used again only after an
 * answer whose end was told by its framing.
 */
final class ReplicaConnection extends ChannelInboundHandlerAdapter {
    /** Answers to other requests that are passed over before the connection is given up. */
    private static final int MAX_FOREIGN = 2;

    /** Interim answers to one request. */
    private static final int MAX_INTERIM = 8;

    /** Bytes of answers that go to nobody; one that is longer may have no end. */
    private static final int MAX_UNUSED_BYTES = 65_536;

    private enum Reading {
        NOTHING,
        HEAD,
        BODY,
        INTERIM,
        FOREIGN
    }

    private final ReplicaLink mLink;
    private final WireProtocol mProtocol;
    private Channel mChannel;
    private AnswerListener mListener;
    private String mRequestId;
    private Reading mReading = Reading.NOTHING;
    private AnswerHead mHead;
    private boolean mRequestWritten;
    private boolean mKeep;
    private int mForeign;
    private int mInterim;
    private long mUnusedBytes;
    private long mIdleSinceNanos;
    private long mIdleLimitNanos;
    private boolean mBecomesIdle;

    ReplicaConnection(ReplicaLink link, WireProtocol protocol) {
        mLink = link;
        mProtocol = protocol;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    /** Sends a request; the listener is told what comes of it until it is complete or lost. */
    void send(FullHttpRequest message, String requestId, AnswerListener listener) {
        mListener = listener;
        mRequestId = requestId;
        mReading = Reading.HEAD;
        mHead = null;
        mKeep = true;
        mForeign = 0;
        mInterim = 0;
        mUnusedBytes = 0;
        mRequestWritten = false;
        // A former caller may have taken its answer slowly.
        setReading(true);
        listener.onSending(this);
        mChannel.writeAndFlush(message)
                .addListener(
                        written -> {
                            mRequestWritten = written.isSuccess();
                            if (!written.isSuccess()) {
                                lose("writing failed: " + written.cause());
                            }
                        });
    }

    /** Gives the request up: the replica sees the connection end and stops its work. */
    void abandon() {
        mListener = null;
        close();
    }

    /** Reads on, or not; for a caller that takes the answer slowly. */
    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    boolean isActive() {
        return mChannel.isActive();
    }

    /** Returns for which part of the replica's patience the connection has been idle. */
    double idlePart(long nowNanos) {
        return (double) (nowNanos - mIdleSinceNanos) / mIdleLimitNanos;
    }

    /** Notes that the connection is idle from now on. */
    void rest(Optional<Duration> idleTime) {
        mIdleLimitNanos = mLink.idleLimitNanos(idleTime);
        mIdleSinceNanos = mLink.nowNanos();
    }

    void close() {
        mBecomesIdle = false;
        mLink.onClosing(this);
        mChannel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mListener == null) {
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        if (message instanceof HttpResponse response) {
            onResponse(response);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mBecomesIdle) {
            // Not sooner, so that bytes behind the answer are seen before the next request goes
            // out.
            mBecomesIdle = false;
            mLink.onIdle(this);
        }
        if (mListener != null) {
            mListener.onPause();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        lose("the replica closed the connection");
        mLink.onClosing(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        lose("the connection broke: " + cause);
    }

    private void onResponse(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            lose("bytes that are no answer: " + response.decoderResult().cause());
            return;
        }
        if (mReading != Reading.HEAD) {
            lose("a second answer to one request");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mReading = Reading.INTERIM;
            mInterim++;
            if (mInterim > MAX_INTERIM) {
                lose("interim answers without end");
            }
            return;
        }
        AnswerHead head = mProtocol.readAnswer(response);
        boolean foreign = head.requestId().map(id -> !id.equals(mRequestId)).orElse(false);
        if (foreign) {
            mForeign++;
            mKeep = false;
            mReading = Reading.FOREIGN;
            if (mForeign > MAX_FOREIGN || head.endsWithConnection()) {
                lose("answers to other requests");
            }
            return;
        }
        mReading = Reading.BODY;
        mHead = head;
        mListener.onHead(head);
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            lose("a body that cannot be read: " + content.decoderResult().cause());
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (isUnused()) {
            mUnusedBytes += content.content().readableBytes();
        }
        if (mReading == Reading.BODY && mListener != null && content.content().isReadable()) {
            ByteBuf bytes = content.content();
            mListener.onContent(bytes);
        } else {
            content.release();
        }
        if (last) {
            onMessageEnd();
        } else if (mUnusedBytes > MAX_UNUSED_BYTES) {
            onTooMuchUnused();
        }
    }

    /** Returns whether what comes is passed over, or stands for an answer of this node's own. */
    private boolean isUnused() {
        return mReading == Reading.FOREIGN
                || (mReading == Reading.BODY && mHead != null && !mHead.isPassedOn());
    }

    /** What the head has told counts, however its body ends. */
    private void onTooMuchUnused() {
        if (mReading == Reading.BODY) {
            mKeep = false;
            complete();
        } else {
            lose("an answer to another request without end");
        }
    }

    private void onMessageEnd() {
        switch (mReading) {
            case INTERIM, FOREIGN -> mReading = Reading.HEAD;
            case BODY -> complete();
            case NOTHING, HEAD -> lose("the end of an answer that did not begin");
            default -> throw new IllegalStateException("reading " + mReading);
        }
    }

    private void complete() {
        AnswerListener listener = mListener;
        mListener = null;
        mReading = Reading.NOTHING;
        if (listener == null) {
            return;
        }
        boolean byConnection = mHead.endsWithConnection();
        if (mKeep && mHead.keepsOpen() && !byConnection && mRequestWritten) {
            rest(mHead.idleTime());
            mBecomesIdle = true;
        } else {
            close();
        }
        listener.onEnd(byConnection);
    }

    private void lose(String reason) {
        AnswerListener listener = mListener;
        mListener = null;
        close();
        if (listener != null) {
            listener.onLost(reason);
        }
    }
}
