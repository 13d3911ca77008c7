package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Refuses what two parsers may read in two ways, where the library would repair it. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setMaxChunkSize(65_536));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks tell the end of the body");
    }
}
