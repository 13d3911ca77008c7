package org.fescueport.internal.direct.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/** Cuts frames out of what a peer sends; one that is too long to be a message ends it at once. */
final class PeerFrameDecoder extends ProtobufVarint32FrameDecoder {
    /** Several times a whole configuration. */
    private static final int MAX_FRAME_BYTES = 16 * 1_024 * 1_024;

    private static final int MAX_LENGTH_BYTES = 5;
    private static final int PART_BITS = 7;
    private static final int PART_MASK = 0x7f;

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (announcedLength(in) > MAX_FRAME_BYTES) {
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("a frame longer than " + MAX_FRAME_BYTES + " bytes");
        }
        super.decode(context, in, out);
    }

    /** Returns the length before a frame; 0 while it is not there whole. */
    private static long announcedLength(ByteBuf in) {
        long length = 0;
        for (int i = 0; i < Math.min(MAX_LENGTH_BYTES, in.readableBytes()); i++) {
            byte part = in.getByte(in.readerIndex() + i);
            length |= (long) (part & PART_MASK) << (PART_BITS * i);
            if (part >= 0) {
                return length;
            }
        }
        return 0;
    }
}
