package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Rejects requests that two parsers may read differently (request smuggling), where Netty's decoder
 * would repair them. Decodes one request at a time; what follows it stays as received bytes.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** What the decoder needs to know about its connection. */
    interface Connection {
        /** Called before received bytes are decoded, but not for empty lines between requests. */
        void onBytesReceived();

        /** Returns whether a request is being processed, so that the next one has to wait. */
        boolean isProcessing();

        /** The bytes that wait to be decoded take more memory than is left. */
        void onNoRoomForUnread();
    }

    private final Connection mConnection;
    private final HeadAccount mAccount;
    private ChannelHandlerContext mContext;
    private boolean mHoldsUnread;

    /** Creates a decoder for one connection. */
    StrictRequestDecoder(int maxHeaderBytes, HeadAccount account, Connection connection) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setMaxChunkSize(65_536)
                        .setHeadersFactory(AccountedHeaders.factory(account))
                        .setTrailersFactory(DiscardedTrailers.FACTORY));
        mAccount = account;
        mConnection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) throws Exception {
        mContext = context;
        super.handlerAdded(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes && !isBlank(bytes)) {
            mConnection.onBytesReceived();
        }
        super.channelRead(context, message);
        accountForUnread();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (mConnection.isProcessing()) {
            // Netty's decoder would read on until it has decoded something.
            context.fireChannelReadComplete();
        } else {
            super.channelReadComplete(context);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        mAccount.addLine(initialLine[1].length());
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
            throws Exception {
        if (!mConnection.isProcessing()) {
            super.decode(context, bytes, messages);
        }
    }

    /** Returns whether bytes wait to be decoded. */
    boolean hasUnread() {
        return internalBuffer().isReadable();
    }

    /** Decodes what has been received while a request was processed. */
    void resume() throws Exception {
        if (!internalBuffer().isReadable()) {
            return;
        }
        if (!isBlank(internalBuffer())) {
            mConnection.onBytesReceived();
        }
        channelRead(mContext, Unpooled.EMPTY_BUFFER);
    }

    /**
     * Counts the buffer of bytes that are not decoded, and stops reading while they belong to a
     * later request.
     */
    private void accountForUnread() {
        boolean unread = internalBuffer().isReadable();
        if (!unread && !mHoldsUnread) {
            return;
        }
        mHoldsUnread = unread;
        if (!mAccount.tryHoldUnread(unread ? internalBuffer().capacity() : 0)) {
            mConnection.onNoRoomForUnread();
        } else if (unread && mConnection.isProcessing()) {
            mContext.channel().config().setAutoRead(false);
        }
    }

    private static boolean isBlank(ByteBuf bytes) {
        return bytes.forEachByte(value -> value == '\r' || value == '\n') < 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks tell the end of the body");
    }
}
