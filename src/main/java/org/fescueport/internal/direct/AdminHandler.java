package org.fescueport.internal.direct;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Answers the health check and serves the counters. */
@Sharable
final class AdminHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final DirectRouterSettings mSettings;
    private final BooleanSupplier mReady;
    private final Supplier<String> mCounters;

    AdminHandler(DirectRouterSettings settings, BooleanSupplier ready, Supplier<String> counters) {
        mSettings = settings;
        mReady = ready;
        mCounters = counters;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.decoderResult().isFailure() || !context.channel().isWritable()) {
            // A caller that sends on without reading its answers would fill the memory with them.
            context.close();
            return;
        }
        String path = request.uri();
        if (path.equals(mSettings.readyPath())) {
            boolean ready = mReady.getAsBoolean();
            answer(
                    context,
                    ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ready ? "ready\n" : "not ready\n");
        } else if (path.equals(mSettings.metricsPath())) {
            answer(context, HttpResponseStatus.OK, mCounters.get());
        } else {
            answer(context, HttpResponseStatus.NOT_FOUND, "nothing is served here\n");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The health check comes again; a connection that broke has nothing to be told.
        context.close();
    }

    private static void answer(
            ChannelHandlerContext context, HttpResponseStatus status, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        var response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
                .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        context.writeAndFlush(response);
    }
}
