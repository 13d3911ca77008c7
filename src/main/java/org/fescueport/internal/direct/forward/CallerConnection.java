package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescueport.internal.direct.config.CallerLimits;

/**
 * One connection of a caller: reads one request at a time whole, and writes its answer.
 *
 * <p>While a request is answered the connection is still read, so that its end is seen at once;
 * what comes early is held, and reading stops until it can be taken.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerSide {
    private static final HttpResponse CONTINUE =
            new io.netty.handler.codec.http.DefaultFullHttpResponse(
                    io.netty.handler.codec.http.HttpVersion.HTTP_1_1,
                    io.netty.handler.codec.http.HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER);

    /** Another node takes the caller at once. */
    private static final Duration ELSEWHERE_TIME = Duration.ofMillis(50);

    /** For a caller that has just connected to a node that stops; longer than requests travel. */
    private static final Duration STOPPING_IDLE_TIME = Duration.ofSeconds(1);

    /** For the rest of a request that was refused before its end. */
    private static final Duration LINGER_TIME = Duration.ofMillis(500);

    private final ForwardingContext mContext;
    private final CallerConnections mConnections;
    private final Deque<Object> mEarly = new ArrayDeque<>();
    private ChannelHandlerContext mChannel;
    private CallerRequest mRequest;
    private CompositeByteBuf mBody;
    private Exchange mExchange;
    private boolean mAnswering;
    private boolean mClosesAfterAnswer;
    private boolean mDiscardsBody;
    private boolean mHasAsked;
    private boolean mSurplus;
    private boolean mLingering;
    private long mSinceNanos;
    private OptionalLong mHeaderSinceNanos = OptionalLong.empty();
    private long mHeldBytes;

    CallerConnection(ForwardingContext context, CallerConnections connections) {
        mContext = context;
        mConnections = connections;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context;
        mSinceNanos = mContext.nowNanos();
        mConnections.onOpened(this, context.channel().parent());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mConnections.onClosed(this);
        releaseAll();
        if (mExchange != null) {
            mExchange.onCallerLeft();
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
            mExchange.onWritable(context.channel().isWritable());
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
        if (mAnswering) {
            mEarly.add(message);
            context.channel().config().setAutoRead(false);
            return;
        }
        read(message);
    }

    /** Bytes have come; when nothing is asked, they begin the headers of a request. */
    void onBytes() {
        if (isIdle() && mHeaderSinceNanos.isEmpty()) {
            mHeaderSinceNanos = OptionalLong.of(mContext.nowNanos());
        }
    }

    /** Looks after the times of a request that is answered. */
    void check(long nowNanos) {
        if (mExchange != null) {
            mExchange.check(nowNanos);
        }
    }

    /** Returns whether nothing is asked on the connection. */
    boolean isIdle() {
        return !mAnswering && mRequest == null;
    }

    /** Returns how long the connection has been idle, or has been sending its request. */
    long waitedNanos(long nowNanos) {
        return nowNanos - mSinceNanos;
    }

    /** This node has no room for the connection: unless others end, its request is refused. */
    void markSurplus() {
        mSurplus = true;
    }

    /** Ends the connection at once. */
    void close() {
        mChannel.close();
    }

    /** Closes a connection that has been idle, or has sent its request slowly, for too long. */
    void sweep(long nowNanos, boolean stopping) {
        if (mLingering && waitedNanos(nowNanos) > LINGER_TIME.toNanos()) {
            mChannel.close();
            return;
        }
        if (mAnswering) {
            return;
        }
        var limits = mConnections.limits();
        long waited = waitedNanos(nowNanos);
        if (areHeadersLate(limits, nowNanos)) {
            refuse(Refusal.Reason.TOO_SLOW, "the headers did not come in time");
        } else if (mRequest == null) {
            if (waited > idleTime(limits, stopping).toNanos()) {
                mChannel.close();
            }
        } else if (waited > limits.idleTime().toNanos()) {
            refuse(Refusal.Reason.TOO_SLOW, "the body did not come in time");
        }
    }

    private boolean areHeadersLate(CallerLimits limits, long nowNanos) {
        return mHeaderSinceNanos.isPresent()
                && nowNanos - mHeaderSinceNanos.getAsLong() > limits.headerTime().toNanos();
    }

    private Duration idleTime(CallerLimits limits, boolean stopping) {
        if (mSurplus) {
            return STOPPING_IDLE_TIME;
        }
        if (!stopping) {
            return limits.idleTime();
        }
        return mHasAsked ? Duration.ZERO : STOPPING_IDLE_TIME;
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
        mSinceNanos = mContext.nowNanos();
        mHeaderSinceNanos = OptionalLong.empty();
        mHasAsked = true;
        mClosesAfterAnswer = !HttpUtil.isKeepAlive(request);
        mDiscardsBody = false;
        if (request.decoderResult().isFailure()) {
            boolean large = request.decoderResult().cause() instanceof TooLongFrameException;
            refuse(
                    large ? Refusal.Reason.HEADERS_TOO_LARGE : Refusal.Reason.BAD_REQUEST,
                    "the request cannot be read: " + request.decoderResult().cause().getMessage());
            return;
        }
        try {
            mRequest = mContext.protocol().readRequest(request);
            mBody = mChannel.alloc().compositeBuffer(1_024);
        } catch (WireProtocol.BadRequestException e) {
            refuse(Refusal.Reason.BAD_REQUEST, e.getMessage());
            return;
        }
        mSurplus = mSurplus && mConnections.isFull();
        if (mSurplus) {
            refuse(Refusal.Reason.NOT_RUN, "this node has too many connections");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            mChannel.writeAndFlush(CONTINUE);
        }
    }

    private void onContent(HttpContent content) {
        if (mDiscardsBody || mRequest == null) {
            content.release();
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            refuse(Refusal.Reason.BAD_REQUEST, "the body cannot be read");
            return;
        }
        if (mBody.readableBytes() + content.content().readableBytes()
                > mConnections.limits().maxBodyBytes()) {
            content.release();
            refuse(Refusal.Reason.BODY_TOO_LARGE, "the body is larger than the limit");
            return;
        }
        if (!mContext.quota().tryHold(content.content().readableBytes())) {
            content.release();
            refuse(Refusal.Reason.NOT_RUN, "this node holds too many bodies");
            return;
        }
        mHeldBytes += content.content().readableBytes();
        if (content.content().isReadable()) {
            mBody.addComponent(true, content.content());
        } else {
            content.release();
        }
        if (content instanceof LastHttpContent) {
            onWholeRequest();
        }
    }

    private void onWholeRequest() {
        CallerRequest request = mRequest;
        ByteBuf body = mBody;
        mRequest = null;
        mBody = null;
        mAnswering = true;
        switch (Gate.of(mContext.view()).judge(request)) {
            case Verdict.Refused refused -> {
                body.release();
                logRefused(request, refused.refusal());
                answer(mContext.protocol().writeRefusal(refused.refusal()));
            }
            case Verdict.Admitted admitted
                    when mConnections.isTooLateFor(admitted.route(), mContext.nowNanos()) -> {
                body.release();
                var refusal = Refusal.notRun(request.id(), "this node is stopping", ELSEWHERE_TIME);
                logRefused(request, refusal);
                answer(mContext.protocol().writeRefusal(refusal));
            }
            case Verdict.Admitted admitted -> {
                var exchange = Exchange.begin(mContext, this, request, body, admitted);
                if (!exchange.isOver()) {
                    mExchange = exchange;
                }
            }
        }
    }

    @Override
    public void sendHead(HttpResponse head) {
        markClosing(head);
        mChannel.write(head);
    }

    @Override
    public void sendContent(ByteBuf content) {
        mChannel.write(new DefaultHttpContent(content));
    }

    @Override
    public void flush() {
        mChannel.flush();
    }

    @Override
    public void finish() {
        var written = mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        onAnswered(written);
    }

    @Override
    public void answer(FullHttpResponse response) {
        markClosing(response);
        onAnswered(mChannel.writeAndFlush(response));
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

    private void markClosing(HttpResponse head) {
        if (mConnections.isStopping()) {
            mClosesAfterAnswer = true;
        }
        if (mClosesAfterAnswer) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void onAnswered(io.netty.channel.ChannelFuture written) {
        mExchange = null;
        mSinceNanos = mContext.nowNanos();
        releaseHeld();
        if (mDiscardsBody) {
            // What is left of the request is read, as a connection that is closed with bytes unread
            // is reset, and the answer is lost with it.
            mLingering = true;
            mChannel.channel().config().setAutoRead(true);
            return;
        }
        if (mClosesAfterAnswer) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mChannel.executor().execute(this::takeEarly);
    }

    /** Goes on with what came while the last request was answered. */
    private void takeEarly() {
        mAnswering = false;
        while (!mAnswering && !mEarly.isEmpty()) {
            read(mEarly.poll());
        }
        if (mEarly.isEmpty()) {
            mChannel.channel().config().setAutoRead(true);
        }
    }

    /** Refuses a request of which the end is not known; nothing more is read. */
    private void refuse(Refusal.Reason reason, String message) {
        Optional<String> id = Optional.ofNullable(mRequest).map(CallerRequest::id);
        var refusal = Refusal.whileReading(reason, id, message);
        mHeaderSinceNanos = OptionalLong.empty();
        mDiscardsBody = true;
        mClosesAfterAnswer = true;
        mAnswering = true;
        releaseAll();
        mContext.log()
                .decision("refused")
                .with("request", id.orElse(""))
                .with("reason", reason)
                .with("message", message)
                .write();
        answer(mContext.protocol().writeRefusal(refusal));
    }

    private void logRefused(CallerRequest request, Refusal refusal) {
        long version = mContext.view().configuration().map(c -> c.version()).orElse(-1L);
        mContext.log()
                .decision("refused")
                .with("request", request.id())
                .with("reason", refusal.reason())
                .with("message", refusal.message())
                .with("host", request.host())
                .with("path", request.path())
                .with("version", version)
                .write();
    }

    private void releaseHeld() {
        mContext.quota().release(mHeldBytes);
        mHeldBytes = 0;
    }

    private void releaseAll() {
        releaseHeld();
        mRequest = null;
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        for (Object early = mEarly.poll(); early != null; early = mEarly.poll()) {
            ReferenceCountUtil.release(early);
        }
    }
}
