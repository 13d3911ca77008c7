package org.fescueport.internal.direct.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.fescueport.internal.wire.generated.PeerDeflated;
import org.fescueport.internal.wire.generated.PeerMessage;

/**
 * Deflates large messages between nodes. A list of replicas consists of records that are nearly
 * alike, and so does a configuration of its routes.
 */
final class Deflation {
    /** Size in bytes below which a message is sent as it is. */
    static final int MIN_BYTES = 1_024;

    /** Maximum inflated size in bytes; larger than the lists of a fleet of thousands. */
    private static final int MAX_BYTES = 16 * 1_024 * 1_024;

    private Deflation() {}

    /** Returns a message that has the same content, deflated if it is large. */
    static PeerMessage deflate(PeerMessage message) {
        int size = message.getSerializedSize();
        if (size < MIN_BYTES) {
            return message;
        }
        var deflated =
                PeerDeflated.newBuilder()
                        .setMessage(deflate(message.toByteArray()))
                        .setInflatedBytes(size);
        return PeerMessage.newBuilder().setDeflated(deflated).build();
    }

    /**
     * Returns the message that was deflated, or the message itself if it was not.
     *
     * @throws DataFormatException if the bytes are not a message of the stated size
     */
    static PeerMessage inflate(PeerMessage message) throws DataFormatException {
        if (!message.hasDeflated()) {
            return message;
        }
        PeerDeflated deflated = message.getDeflated();
        try {
            var inflated =
                    PeerMessage.parseFrom(
                            inflate(deflated.getMessage(), deflated.getInflatedBytes()));
            if (inflated.hasDeflated()) {
                throw new DataFormatException("a deflated message contains a deflated message");
            }
            return inflated;
        } catch (InvalidProtocolBufferException e) {
            throw new DataFormatException("a deflated message is invalid: " + e.getMessage());
        }
    }

    private static ByteString deflate(byte[] value) {
        try (var deflater = new Deflater(Deflater.BEST_SPEED)) {
            deflater.setInput(value);
            deflater.finish();
            byte[] output = new byte[value.length];
            int length = 0;
            // Data that cannot be compressed grows a little, so one array may be too small.
            while (!deflater.finished()) {
                if (length == output.length) {
                    output = Arrays.copyOf(output, 2 * length);
                }
                length += deflater.deflate(output, length, output.length - length);
            }
            return ByteString.copyFrom(output, 0, length);
        }
    }

    private static byte[] inflate(ByteString deflated, int size) throws DataFormatException {
        if (size < 0 || size > MAX_BYTES) {
            throw new DataFormatException(
                    "a deflated message states a size of " + size + " bytes, over " + MAX_BYTES);
        }
        try (var inflater = new Inflater()) {
            inflater.setInput(deflated.toByteArray());
            // One byte more than stated, to detect data that is longer.
            byte[] value = new byte[size + 1];
            int length = inflater.inflate(value);
            if (length != size || !inflater.finished()) {
                throw new DataFormatException(
                        "a deflated message does not have the stated " + size + " bytes");
            }
            return Arrays.copyOf(value, size);
        }
    }
}
