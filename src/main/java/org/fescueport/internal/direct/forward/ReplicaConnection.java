package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import org.fescueport.internal.direct.net.StrictResponseDecoder;
import org.fescueport.internal.http1.MalformedResponseException;

/**
 * One connection to a replica, with at most one request in progress.
 *
 * <p>Only the response that names that request is accepted. Bytes that arrive while no request is
 * in progress close the connection, and so does a response that names no request. Complete
 * responses to other requests are skipped. The connection is reused only after a response whose end
 * was given by its framing, that is, by a content length or chunked transfer coding.
 */
final class ReplicaConnection extends ChannelInboundHandlerAdapter
        implements StrictResponseDecoder.Requests {
    /** Responses to other requests that are skipped; one more closes the connection. */
    private static final int MAX_UNRELATED_RESPONSES = 2;

    /** Interim (1xx) responses that are accepted for one request. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    /**
     * Body bytes that are read of responses that are not forwarded; a longer body might never end.
     */
    private static final int MAX_DISCARDED_BYTES = 65_536;

    private static final String STATUS_LINE_START = "HTTP/1.";

    private enum ReadState {
        IDLE,
        HEAD,
        BODY,
        INTERIM,
        UNRELATED
    }

    private final ReplicaConnectionPool mConnectionPool;
    private final WireProtocol mProtocol;
    private Channel mChannel;
    private ResponseListener mListener;
    private String mRequestId;
    private HttpMethod mMethod;
    private ReadState mReadState = ReadState.IDLE;
    private ResponseHead mHead;
    private boolean mRequestWritten;
    private int mRequestsSent;
    private boolean mReusable;
    private int mUnrelatedResponses;
    private int mInterimResponses;
    private long mDiscardedBytes;
    private long mIdleSinceNanos;
    private long mIdleLimitNanos;
    private boolean mReturnToPool;

    ReplicaConnection(ReplicaConnectionPool connectionPool, WireProtocol protocol) {
        mConnectionPool = connectionPool;
        mProtocol = protocol;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    /**
     * Sends a request. The listener is notified of its progress until the response is complete or
     * lost.
     */
    void send(FullHttpRequest message, String requestId, ResponseListener listener) {
        mListener = listener;
        mRequestId = requestId;
        mMethod = message.method();
        mReadState = ReadState.HEAD;
        mHead = null;
        mReusable = true;
        mUnrelatedResponses = 0;
        mInterimResponses = 0;
        mDiscardedBytes = 0;
        mRequestWritten = false;
        mRequestsSent++;
        listener.onSending(this);
        mChannel.writeAndFlush(message)
                .addListener(
                        written -> {
                            mRequestWritten = written.isSuccess();
                            if (!written.isSuccess()) {
                                fail("writing failed: " + written.cause());
                            }
                        });
    }

    /** Cancels the request by closing the connection, upon which the replica stops its work. */
    void cancelRequest() {
        mListener = null;
        close();
    }

    /** Resumes or suspends reading, for a caller that reads the response slowly. */
    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    boolean isActive() {
        return mChannel.isActive();
    }

    /**
     * Returns how long the connection has been idle, as a fraction of the time for which the
     * replica is expected to keep an idle connection open.
     */
    double idleFraction(long nowNanos) {
        return (double) (nowNanos - mIdleSinceNanos) / mIdleLimitNanos;
    }

    /**
     * Marks the connection as idle from now on.
     *
     * @param idleTimeout for which the replica announced to keep an idle connection open
     */
    void markIdle(Optional<Duration> idleTimeout) {
        mIdleLimitNanos = mConnectionPool.idleLimitNanos(idleTimeout);
        mIdleSinceNanos = mConnectionPool.nowNanos();
    }

    void close() {
        mReturnToPool = false;
        mConnectionPool.onClosing(this);
        mChannel.close();
    }

    @Override
    public boolean isResponseExpected() {
        return mListener != null;
    }

    @Override
    public HttpMethod method() {
        return mMethod;
    }

    @Override
    public void onStrayBytes() {
        close();
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
        if (mReturnToPool) {
            // The connection is returned only now, so that stray bytes after the response are
            // detected before the next request is sent.
            mReturnToPool = false;
            mConnectionPool.onIdle(this);
        }
        if (mListener != null) {
            mListener.onReadComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the replica closed the connection");
        mConnectionPool.onClosing(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause.getCause() instanceof MalformedResponseException malformed) {
            fail("bytes that are no answer: " + malformed.getMessage());
        } else {
            fail("the connection broke: " + cause);
        }
    }

    private void onResponse(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail("bytes that are no answer: " + response.decoderResult().cause());
            return;
        }
        if (mReadState != ReadState.HEAD) {
            fail("a second answer to one request");
            return;
        }
        if (!TransferCoding.isReadable(response.headers())) {
            fail("a transfer coding that is not read");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            onInterimHead(response);
        } else {
            onFinalHead(response);
        }
    }

    private void onInterimHead(HttpResponse response) {
        mReadState = ReadState.INTERIM;
        mInterimResponses++;
        if (mInterimResponses > MAX_INTERIM_RESPONSES) {
            fail("interim answers without end");
        } else if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail("another protocol, for which nobody asked");
        }
    }

    private void onFinalHead(HttpResponse response) {
        ResponseHead head = mProtocol.readResponseHead(response);
        if (head.notRun() && containsStatusLine(response)) {
            fail("a refusal that another answer runs into");
            return;
        }
        boolean named = head.requestId().isPresent();
        if (!named && !isMisdirectedFirstRequest(head)) {
            fail("an answer that names no request");
            return;
        }
        if (named && !head.requestId().get().equals(mRequestId)) {
            onUnrelatedHead(head);
            return;
        }
        mReusable = mReusable && named;
        mReadState = ReadState.BODY;
        mHead = head;
        mListener.onHead(head);
    }

    /**
     * Returns whether another response may begin within this head. The first one is cut then, and
     * the request id may be that of the second. The decoder refuses every head that contains a
     * status line; for a head after which a request is sent again, the beginning of one suffices.
     */
    private static boolean containsStatusLine(HttpResponse response) {
        return response.status().reasonPhrase().contains(STATUS_LINE_START)
                || response.headers().entries().stream()
                        .anyMatch(header -> header.getValue().contains(STATUS_LINE_START));
    }

    private void onUnrelatedHead(ResponseHead head) {
        mUnrelatedResponses++;
        mReusable = false;
        mReadState = ReadState.UNRELATED;
        if (mUnrelatedResponses > MAX_UNRELATED_RESPONSES || head.closeDelimited()) {
            fail("answers to other requests");
        }
    }

    /**
     * Returns whether a response without a request id is accepted. A server that has taken over the
     * address of the replica need not echo the id; on the first request of the connection, its
     * response can be to no other request.
     */
    private boolean isMisdirectedFirstRequest(ResponseHead head) {
        return head.isMisdirected()
                && mRequestsSent == 1
                && mRequestWritten
                && mUnrelatedResponses == 0;
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            fail("a body that cannot be read: " + content.decoderResult().cause());
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (isDiscarded()) {
            mDiscardedBytes += content.content().readableBytes();
        }
        if (mReadState == ReadState.BODY && mListener != null && content.content().isReadable()) {
            ByteBuf bytes = content.content();
            mListener.onContent(bytes);
        } else {
            content.release();
        }
        if (last) {
            onMessageEnd();
        } else if (mDiscardedBytes > MAX_DISCARDED_BYTES) {
            onDiscardLimitExceeded();
        }
    }

    /**
     * Returns whether the body is discarded: it belongs to another request, or this node sends a
     * response of its own instead.
     */
    private boolean isDiscarded() {
        return mReadState == ReadState.UNRELATED
                || (mReadState == ReadState.BODY && mHead != null && !mHead.isForwarded());
    }

    /**
     * Stops reading a discarded body. The head of a response to this request remains valid, however
     * its body ends.
     */
    private void onDiscardLimitExceeded() {
        if (mReadState == ReadState.BODY) {
            mReusable = false;
            complete();
        } else {
            fail("an answer to another request without end");
        }
    }

    private void onMessageEnd() {
        switch (mReadState) {
            case INTERIM, UNRELATED -> mReadState = ReadState.HEAD;
            case BODY -> complete();
            case IDLE, HEAD -> fail("the end of an answer that did not begin");
            default -> throw new IllegalStateException("reading " + mReadState);
        }
    }

    private void complete() {
        ResponseListener listener = mListener;
        mListener = null;
        mReadState = ReadState.IDLE;
        if (listener == null) {
            return;
        }
        boolean endedByClose = mHead.closeDelimited();
        if (mReusable && mHead.keepAlive() && !endedByClose && mRequestWritten) {
            // It may still be suspended for a caller that reads the response slowly.
            setReading(true);
            markIdle(mHead.keepAliveTimeout());
            mReturnToPool = true;
        } else {
            close();
        }
        listener.onResponseComplete(endedByClose);
    }

    private void fail(String reason) {
        ResponseListener listener = mListener;
        mListener = null;
        close();
        if (listener != null) {
            listener.onLost(reason);
        }
    }
}
