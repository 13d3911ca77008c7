package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Rejects requests that two parsers may read differently (request smuggling), where Netty's decoder
 * would repair them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private final Runnable mOnBytesReceived;

    /**
     * Creates a decoder for one connection.
     *
     * @param onBytesReceived called before received bytes are decoded, but not for empty lines
     *     between requests
     */
    StrictRequestDecoder(int maxHeaderBytes, Runnable onBytesReceived) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setMaxChunkSize(65_536));
        mOnBytesReceived = onBytesReceived;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes && !isBlank(bytes)) {
            mOnBytesReceived.run();
        }
        super.channelRead(context, message);
    }

    private static boolean isBlank(ByteBuf bytes) {
        return bytes.forEachByte(value -> value == '\r' || value == '\n') < 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks tell the end of the body");
    }
}
