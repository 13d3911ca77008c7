package org.fescueport.internal.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/** Cuts the stream into frames and closes a connection that sends one above the bound. */
final class FrameLengthLimit extends ProtobufVarint32FrameDecoder {
    /** Longer than any frame that this fleet sends: a body of 64 MiB and its heads. */
    private static final int MOST_BYTES = (64 << 20) + (64 << 10);

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (in.readableBytes() > MOST_BYTES) {
            in.skipBytes(in.readableBytes());
            context.close();
            return;
        }
        super.decode(context, in, out);
    }
}
