package org.fescueport.internal.direct.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;
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
                PeerDeflated.newBuilder().setMessage(deflatedBytes(message)).setInflatedBytes(size);
        return PeerMessage.newBuilder().setDeflated(deflated).build();
    }

    /** Streams the message, so that it is not held in memory a second time. */
    private static ByteString deflatedBytes(PeerMessage message) {
        ByteString.Output output = ByteString.newOutput();
        try (var deflater = new Deflater(Deflater.BEST_SPEED);
                var stream = new DeflaterOutputStream(output, deflater)) {
            message.writeTo(stream);
            stream.finish();
            return output.toByteString();
        } catch (IOException e) {
            throw new UncheckedIOException("a message cannot be deflated in memory", e);
        }
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
        int size = message.getDeflated().getInflatedBytes();
        if (size < 0 || size > MAX_BYTES) {
            throw new DataFormatException(
                    "a deflated message states a size of " + size + " bytes, over " + MAX_BYTES);
        }
        PeerMessage inflated = inflate(message.getDeflated().getMessage(), size);
        if (inflated.hasDeflated()) {
            throw new DataFormatException("a deflated message contains a deflated message");
        }
        return inflated;
    }

    private static PeerMessage inflate(ByteString deflated, int size) throws DataFormatException {
        try (var inflater = new Inflater();
                var stream = new InflaterInputStream(deflated.newInput(), inflater)) {
            CodedInputStream input = CodedInputStream.newInstance(stream);
            // One byte more than stated, to detect data that is longer.
            input.setSizeLimit(size + 1);
            var message = PeerMessage.parseFrom(input);
            if (input.getTotalBytesRead() != size || !inflater.finished()) {
                throw new DataFormatException(
                        "a deflated message does not have the stated " + size + " bytes");
            }
            return message;
        } catch (IOException e) {
            throw new DataFormatException("a deflated message is invalid: " + e.getMessage());
        }
    }
}
