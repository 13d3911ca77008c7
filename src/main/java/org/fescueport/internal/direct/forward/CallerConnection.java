package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescueport.internal.direct.config.CallerLimits;
import org.fescueport.internal.direct.forward.ForwardingMetrics.HeadRefusal;

/**
 * One connection of a caller. Reads one complete request at a time and writes its response.
 *
 * <p>The connection stays readable while a request is processed, so that a disconnect of the caller
 * is noticed at once. Bytes of a pipelined request that arrive in this time wait undecoded, and
 * reading stops until they can be processed.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements ResponseWriter, StrictRequestDecoder.Connection {
    private static final HttpResponse CONTINUE =
            new io.netty.handler.codec.http.DefaultFullHttpResponse(
                    io.netty.handler.codec.http.HttpVersion.HTTP_1_1,
                    io.netty.handler.codec.http.HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER);

    /**
     * Retry-After of requests that are refused because this node is stopping; another node accepts
     * the caller at once.
     */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(50);

    /**
     * Idle timeout of a connection that has sent no request yet to a node that is stopping, and of
     * one over the connection limit. Longer than a request is in transit.
     */
    private static final Duration FIRST_REQUEST_TIMEOUT = Duration.ofSeconds(1);

    /** Longest time for which the rest of a refused request is read and discarded. */
    private static final Duration LINGER_TIMEOUT = Duration.ofMillis(500);

    private final ForwardingContext mContext;
    private final CallerConnections mConnections;
    private final HeadAccount mAccount;
    private StrictRequestDecoder mDecoder;
    private ChannelHandlerContext mChannel;
    private HttpMethod mMethod = HttpMethod.GET;
    private CallerRequest mRequest;
    private CallerBody mBody;
    private Exchange mExchange;
    private boolean mProcessing;
    private boolean mCloseAfterResponse;
    private boolean mDiscardBody;
    private boolean mRequestReceived;
    private boolean mOverLimit;
    private boolean mLingering;

    /** Whether the next request waits until the caller has read more of its answers. */
    private boolean mAnswersUnread;

    private long mStateSinceNanos;
    private OptionalLong mHeaderStartNanos = OptionalLong.empty();
    private long mReservedBytes;
    private final SlowReaderBudget.Unread mUnread;
    private boolean mWriting;
    private boolean mCutOff;

    CallerConnection(
            ForwardingContext context, CallerConnections connections, HeadAccount account) {
        mContext = context;
        mConnections = connections;
        mAccount = account;
        mUnread = context.slowReaders().open(this::cutOff);
    }

    /** Sets the decoder of this connection; must be called once, before anything is read. */
    void use(StrictRequestDecoder decoder) {
        mDecoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context;
        mStateSinceNanos = mContext.nowNanos();
        mConnections.onOpened(this, context.channel().parent());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mConnections.onClosed(this);
        mContext.slowReaders().update(mUnread, 0, mContext.nowNanos());
        releaseAll();
        mAccount.close();
        if (mExchange != null) {
            mExchange.onCallerDisconnected();
            mExchange = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mContext.log().decision("caller-connection-broke").with("reason", cause).write();
        context.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mExchange != null) {
            mExchange.updateReading();
        }
        if (mAnswersUnread && context.channel().isWritable()) {
            mAnswersUnread = false;
            context.executor().execute(this::readPipelined);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mLingering) {
            ReferenceCountUtil.release(message);
            if (message instanceof LastHttpContent) {
                context.close();
            }
            return;
        }
        read(message);
    }

    /** On an idle connection the bytes begin the headers of a request: the timeout starts. */
    @Override
    public void onBytesReceived() {
        if (isIdle() && mHeaderStartNanos.isEmpty()) {
            mHeaderStartNanos = OptionalLong.of(mContext.nowNanos());
        }
    }

    @Override
    public boolean isProcessing() {
        return mProcessing && !mLingering;
    }

    @Override
    public void onNoRoomForUnread() {
        mContext.metrics().onHeadRefused(HeadRefusal.NO_ROOM);
        mContext.log()
                .decision("caller-closed")
                .with("reason", "no room for what it has sent ahead")
                .write();
        mChannel.close();
    }

    /** Checks the timeouts of the request that is being forwarded. */
    void checkTimeouts(long nowNanos) {
        if (mExchange != null) {
            mExchange.checkTimeouts(nowNanos);
        }
        if (isReadingAhead()) {
            observeUnread();
            resumeReading();
        }
    }

    /** Reads on from the replica if the caller, or another one, has made room. */
    private void resumeReading() {
        if (mExchange != null && mayReadOn()) {
            mExchange.updateReading();
        }
    }

    /** Returns whether this node holds bytes of a response that the caller has not read. */
    boolean hasUnread() {
        return mUnread.bytes() > 0;
    }

    /** Returns the method of the request that is being received or processed, or was last. */
    HttpMethod method() {
        return mMethod;
    }

    /** Returns whether no request is being received or processed. */
    boolean isIdle() {
        return !mProcessing && mRequest == null;
    }

    /**
     * Returns how long the connection has been idle, or has been receiving its request, in
     * nanoseconds.
     */
    long nanosInState(long nowNanos) {
        return nowNanos - mStateSinceNanos;
    }

    /**
     * Marks the connection as over this node's connection limit: its request is refused unless
     * enough other connections have been closed by then.
     */
    void markOverLimit() {
        mOverLimit = true;
    }

    /** Closes the connection at once, without a response. */
    void close() {
        mChannel.close();
    }

    /**
     * Closes the connection if it has been idle for too long, and refuses its request if it arrives
     * too slowly.
     */
    void sweep(long nowNanos, boolean stopping) {
        if (mLingering && nanosInState(nowNanos) > LINGER_TIMEOUT.toNanos()) {
            mChannel.close();
            return;
        }
        var limits = mConnections.limits();
        long waited = nanosInState(nowNanos);
        if (mAnswersUnread && waited > limits.connectionIdleTimeout().toNanos()) {
            mChannel.close();
            return;
        }
        if (mProcessing) {
            return;
        }
        if (isHeaderTimeoutExceeded(limits, nowNanos)) {
            refuse(Refusal.Reason.TOO_SLOW, "the headers did not come in time");
        } else if (mRequest == null) {
            if (waited > idleTimeout(limits, stopping).toNanos()) {
                mChannel.close();
            }
        } else if (waited > limits.connectionIdleTimeout().toNanos()) {
            refuse(Refusal.Reason.TOO_SLOW, "the body did not come in time");
        }
    }

    private boolean isHeaderTimeoutExceeded(CallerLimits limits, long nowNanos) {
        return mHeaderStartNanos.isPresent()
                && nowNanos - mHeaderStartNanos.getAsLong() > limits.headerTimeout().toNanos();
    }

    private Duration idleTimeout(CallerLimits limits, boolean stopping) {
        if (mOverLimit) {
            return FIRST_REQUEST_TIMEOUT;
        }
        if (!stopping || hasUnread()) {
            return limits.connectionIdleTimeout();
        }
        return mRequestReceived ? Duration.ZERO : FIRST_REQUEST_TIMEOUT;
    }

    private void read(Object message) {
        if (message instanceof HttpRequest request) {
            onRequest(request);
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        } else if (!(message instanceof HttpRequest)) {
            ReferenceCountUtil.release(message);
        }
    }

    private void onRequest(HttpRequest request) {
        mStateSinceNanos = mContext.nowNanos();
        mHeaderStartNanos = OptionalLong.empty();
        mRequestReceived = true;
        mMethod = request.method();
        mCloseAfterResponse = !HttpUtil.isKeepAlive(request);
        mDiscardBody = false;
        if (request.decoderResult().isFailure()) {
            refuseHead(request.decoderResult().cause());
            return;
        }
        boolean expectsContinue = HttpUtil.is100ContinueExpected(request);
        long length = HttpUtil.getContentLength(request, -1L);
        try {
            mRequest = mContext.protocol().readRequest(request);
            int maxBody = mConnections.limits().maxBodyBytes();
            mBody = new CallerBody(mChannel.alloc(), length < 0 ? maxBody : length);
        } catch (WireProtocol.BadRequestException e) {
            refuse(Refusal.Reason.BAD_REQUEST, e.getMessage());
            return;
        }
        if (!mAccount.tryAddPromptParts(mRequest.prompt().parts().size())) {
            mContext.metrics().onHeadRefused(HeadRefusal.NO_ROOM);
            refuse(Refusal.Reason.NOT_RUN, "this node holds too many headers");
            return;
        }
        mOverLimit = mOverLimit && mConnections.isOverLimit();
        if (mOverLimit) {
            refuse(Refusal.Reason.NOT_RUN, "this node has too many connections");
            return;
        }
        if (expectsContinue) {
            mChannel.writeAndFlush(CONTINUE);
        }
    }

    private void refuseHead(Throwable cause) {
        String message = "the request cannot be read: " + cause.getMessage();
        switch (cause) {
            case HeadAccount.NoRoomException full -> {
                mContext.metrics().onHeadRefused(HeadRefusal.NO_ROOM);
                refuse(Refusal.Reason.NOT_RUN, message);
            }
            case TooLongFrameException large -> {
                mContext.metrics().onHeadRefused(HeadRefusal.TOO_LARGE);
                refuse(Refusal.Reason.HEADERS_TOO_LARGE, message);
            }
            default -> refuse(Refusal.Reason.BAD_REQUEST, message);
        }
    }

    private void onContent(HttpContent content) {
        if (mDiscardBody || mRequest == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            refuse(Refusal.Reason.BAD_REQUEST, "the body cannot be read");
            return;
        }
        int bytes = content.content().readableBytes();
        if (mBody.size() + bytes > mConnections.limits().maxBodyBytes()) {
            content.release();
            refuse(Refusal.Reason.BODY_TOO_LARGE, "the body is larger than the limit");
            return;
        }
        int growth = mBody.growth(bytes);
        if (!mContext.quota().tryReserve(growth)) {
            content.release();
            refuse(Refusal.Reason.NOT_RUN, "this node holds too many bodies");
            return;
        }
        mReservedBytes += growth;
        mBody.append(content.content());
        if (content instanceof LastHttpContent) {
            mProcessing = true;
            mChannel.executor().execute(this::onRequestComplete);
        }
    }

    /**
     * Forwards a complete request. Runs after everything that has been received was read, so that
     * the request of a caller that has disconnected meanwhile is dropped.
     */
    private void onRequestComplete() {
        if (!mChannel.channel().isActive()) {
            mContext.log()
                    .decision("caller-left")
                    .with("request", mRequest == null ? "" : mRequest.id())
                    .with("reason", "the connection was closed before the request was forwarded")
                    .write();
            releaseAll();
            return;
        }
        CallerRequest request = mRequest;
        ByteBuf body = mBody.bytes();
        mRequest = null;
        mBody = null;
        switch (RequestResolver.of(mContext.view()).resolve(request)) {
            case Resolution.Refused refused -> {
                body.release();
                CallerLog.refused(mContext, request, refused.refusal());
                sendFull(mContext.protocol().writeRefusal(refused.refusal()));
            }
            case Resolution.Accepted accepted -> onAccepted(request, body, accepted);
        }
    }

    private void onAccepted(CallerRequest request, ByteBuf body, Resolution.Accepted accepted) {
        if (!mConnections.admitWhileStopping(request, accepted.route())) {
            body.release();
            var refusal =
                    Refusal.notRun(request.id(), "this node is stopping", STOPPING_RETRY_AFTER);
            CallerLog.refused(mContext, request, refusal);
            sendFull(mContext.protocol().writeRefusal(refusal));
            return;
        }
        var exchange = Exchange.begin(mContext, this, request, body, accepted);
        if (!exchange.isEnded()) {
            mExchange = exchange;
        }
    }

    /**
     * Ends the request of this connection, as the process is about to end. A request that is still
     * being received is refused; an idle connection is closed.
     */
    void onNodeEnding() {
        if (mExchange != null) {
            mExchange.onNodeEnding();
        } else if (mRequest != null && !mProcessing) {
            refuse(Refusal.Reason.NOT_RUN, "this node ends");
        } else if (!mProcessing) {
            mChannel.close();
        }
    }

    @Override
    public void sendHead(HttpResponse head) {
        setConnectionClose(head);
        mChannel.write(head);
    }

    @Override
    public void sendContent(ByteBuf content) {
        if (isWritable()) {
            mChannel.write(new DefaultHttpContent(content));
            return;
        }
        observeUnread();
        mChannel.write(
                new DefaultHttpContent(
                        isReadingAhead() ? SlowReaderBudget.compact(content) : content));
        observeUnread();
        if (mExchange != null) {
            mExchange.updateReading();
        }
    }

    @Override
    public void flush() {
        mChannel.flush();
        observeUnread();
    }

    /** Tells the budget what this connection holds, and cuts off responses if it is exceeded. */
    private void observeUnread() {
        long bytes = SlowReaderBudget.unwrittenBytes(mChannel.channel());
        if (!isReadingAhead() || mCutOff || (bytes == 0 && !hasUnread())) {
            return;
        }
        long now = mContext.nowNanos();
        if (bytes < mUnread.bytes() && isIdle()) {
            // A caller that still reads its last response is not idle.
            mStateSinceNanos = now;
        }
        mContext.slowReaders().update(mUnread, bytes, now);
        mWriting = true;
        mContext.slowReaders().cutExcess(now);
        mWriting = false;
    }

    /**
     * Returns whether responses are read from the replicas faster than callers read them. Only
     * replicas that share their machines cut off responses that are read slowly.
     */
    private boolean isReadingAhead() {
        return mContext.speeds().isAnyReported();
    }

    /** Ends a response whose caller reads too slowly. */
    private void cutOff(long unreadBytes) {
        CallerLog.slowReaderCut(mContext, unreadBytes);
        mCutOff = true;
        if (mWriting) {
            mChannel.executor().execute(this::reset);
        } else {
            reset();
        }
    }

    /** Resets the connection; its caller sees an incomplete response. */
    private void reset() {
        if (mExchange != null) {
            mExchange.onCutOff();
            mExchange = null;
        }
        if (mChannel.channel().isActive()) {
            mChannel.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            mChannel.close();
        }
    }

    @Override
    public void finish() {
        var written = mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        onResponseWritten(written);
    }

    @Override
    public void sendFull(FullHttpResponse response) {
        setConnectionClose(response);
        onResponseWritten(mChannel.writeAndFlush(response));
    }

    @Override
    public void abort() {
        mExchange = null;
        mChannel.close();
    }

    @Override
    public boolean isWritable() {
        return mChannel.channel().isWritable();
    }

    @Override
    public boolean mayReadOn() {
        return isWritable()
                || (isReadingAhead() && !mCutOff && mContext.slowReaders().hasRoom(mUnread));
    }

    private void setConnectionClose(HttpResponse head) {
        if (mConnections.isStopping() || mAccount.isWorthClosing()) {
            mCloseAfterResponse = true;
        }
        if (mCloseAfterResponse) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void onResponseWritten(io.netty.channel.ChannelFuture written) {
        mExchange = null;
        mStateSinceNanos = mContext.nowNanos();
        releaseQuota();
        if (mDiscardBody) {
            // The rest of the request is read before the connection is closed: closing it with
            // unread bytes would reset it, and the caller would lose the response.
            mLingering = true;
            mChannel.channel().config().setAutoRead(true);
            return;
        }
        if (mCloseAfterResponse) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mChannel.executor().execute(this::readPipelined);
    }

    /** Reads what arrived while the previous request was being processed. */
    private void readPipelined() {
        if (!mChannel.channel().isWritable()) {
            mAnswersUnread = true;
            mChannel.channel().config().setAutoRead(false);
            return;
        }
        mProcessing = false;
        try {
            mDecoder.resume();
        } catch (Exception e) {
            exceptionCaught(mChannel, e);
        }
        if (!mProcessing || !mDecoder.hasUnread()) {
            mChannel.channel().config().setAutoRead(true);
        }
    }

    /**
     * Refuses a request that has not been received completely. The rest of it is discarded, and the
     * connection is closed after the response.
     */
    private void refuse(Refusal.Reason reason, String message) {
        Optional<String> id = Optional.ofNullable(mRequest).map(CallerRequest::id);
        var refusal = Refusal.ofIncompleteRequest(reason, id, message);
        mHeaderStartNanos = OptionalLong.empty();
        mDiscardBody = true;
        mCloseAfterResponse = true;
        mProcessing = true;
        releaseAll();
        CallerLog.refusedIncomplete(mContext, id, reason, message);
        sendFull(mContext.protocol().writeRefusal(refusal));
    }

    private void releaseQuota() {
        mContext.quota().release(mReservedBytes);
        mReservedBytes = 0;
        mAccount.release();
    }

    private void releaseAll() {
        releaseQuota();
        mRequest = null;
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }
}
