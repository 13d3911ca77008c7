package org.fescueport.internal.direct.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.fescueport.internal.http1.MalformedResponseException;

/**
 * Decodes the responses of one connection to a replica or to the shared store.
 *
 * <p>Netty's decoder repairs what HTTP/1.1 does not allow, so a {@link ResponseScanner} checks the
 * bytes first. What it refuses ends the connection with a {@link MalformedResponseException} and
 * never reaches the decoder. Bytes that arrive while no response is expected are reported at once,
 * even if they are only the beginning of a response.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** What the decoder needs to know about the request in progress. */
    public interface Requests {
        /** Returns whether a request is in progress, so that a response may arrive. */
        boolean isResponseExpected();

        /** Returns the method of the request in progress. */
        HttpMethod method();

        /** Bytes have arrived that belong to no response; they are skipped. */
        void onStrayBytes();
    }

    private final Requests mRequests;
    private final ResponseScanner mScanner = new ResponseScanner();

    /** Whether malformed bytes came, so that nothing that follows can be told for certain. */
    private boolean mIsRefused;

    /** Creates the decoder of one connection. */
    public StrictResponseDecoder(Requests requests) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_CHUNK_BYTES));
        mRequests = requests;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
            throws Exception {
        if (mIsRefused) {
            bytes.skipBytes(bytes.readableBytes());
        } else if (mRequests.isResponseExpected()) {
            decodeChecked(context, bytes, messages);
        } else {
            bytes.skipBytes(bytes.readableBytes());
            mRequests.onStrayBytes();
        }
    }

    private void decodeChecked(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
            throws Exception {
        try {
            mScanner.scan(bytes);
            int readable = bytes.readableBytes();
            int first = messages.size();
            super.decode(context, bytes, messages);
            mScanner.onConsumed(readable - bytes.readableBytes());
            for (Object message : messages.subList(first, messages.size())) {
                onDecoded(message);
            }
        } catch (MalformedResponseException e) {
            mIsRefused = true;
            throw e;
        }
    }

    private void onDecoded(Object message) throws MalformedResponseException {
        if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            boolean isChunked = HttpUtil.isTransferEncodingChunked(response);
            mScanner.onHeadDecoded(isChunked && !isContentAlwaysEmpty(response));
        }
        if (message instanceof LastHttpContent) {
            mScanner.onMessageDecoded();
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isFinalResponseToHead(message) || super.isContentAlwaysEmpty(message);
    }

    private boolean isFinalResponseToHead(HttpMessage message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                && mRequests.method().equals(HttpMethod.HEAD);
    }
}
