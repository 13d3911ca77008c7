package org.fescueport.internal.direct.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.fescueport.internal.wire.generated.PeerMessage;

/**
 * A message behind its length, encoded once for all connections that it goes to, so that its memory
 * does not grow with the number of receivers.
 *
 * <pre>{@code
 * try (var frame = PeerFrame.of(message)) {
 *     peers.forEach(peer -> peer.send(frame));
 * }
 * }</pre>
 */
final class PeerFrame implements AutoCloseable {
    /** Most bytes of the length before a message. */
    private static final int LENGTH_BYTES = 5;

    private final ByteBuf mBytes;

    private PeerFrame(ByteBuf bytes) {
        mBytes = bytes;
    }

    static PeerFrame of(PeerMessage content) {
        PeerMessage message = Deflation.deflate(content);
        // The library would copy memory of the heap for each connection.
        int size = message.getSerializedSize() + LENGTH_BYTES;
        ByteBuf bytes = ByteBufAllocator.DEFAULT.directBuffer(size);
        try {
            message.writeDelimitedTo(new ByteBufOutputStream(bytes));
        } catch (IOException e) {
            bytes.release();
            throw new UncheckedIOException("a message to peers cannot be encoded", e);
        }
        return new PeerFrame(bytes);
    }

    /** Returns the bytes for one connection, which releases them; their memory is shared. */
    ByteBuf bytes() {
        return mBytes.retainedDuplicate();
    }

    @Override
    public void close() {
        mBytes.release();
    }
}
