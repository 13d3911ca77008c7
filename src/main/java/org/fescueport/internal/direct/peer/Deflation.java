package org.fescueport.internal.direct.peer;

import com.google.protobuf.ByteString;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Makes large values smaller on their way between nodes, and whole again. */
final class Deflation {
    /** Below this a value is sent as it is: a configuration is large, a replica is not. */
    static final int LEAST_BYTES = 1_024;

    /** More than any value of the store has; a claim beyond it is nonsense. */
    private static final int MOST_BYTES = 16 * 1_024 * 1_024;

    private Deflation() {}

    static ByteString deflate(byte[] value) {
        try (var deflater = new Deflater(Deflater.BEST_SPEED)) {
            deflater.setInput(value);
            deflater.finish();
            byte[] output = new byte[value.length];
            int length = 0;
            // What doesn't shrink grows a little, so one array may not hold it.
            while (!deflater.finished()) {
                if (length == output.length) {
                    output = Arrays.copyOf(output, 2 * length);
                }
                length += deflater.deflate(output, length, output.length - length);
            }
            return ByteString.copyFrom(output, 0, length);
        }
    }

    /**
     * Returns the value that was deflated.
     *
     * @param size of it
     * @throws DataFormatException when the bytes are not a value of this size
     */
    static byte[] inflate(ByteString deflated, int size) throws DataFormatException {
        if (size < 0 || size > MOST_BYTES) {
            throw new DataFormatException("a value of " + size + " bytes is not believed");
        }
        try (var inflater = new Inflater()) {
            inflater.setInput(deflated.toByteArray());
            // Room for one byte more shows a value that is longer than was said.
            byte[] value = new byte[size + 1];
            int length = inflater.inflate(value);
            if (length != size || !inflater.finished()) {
                throw new DataFormatException("a value has not the " + size + " bytes it says");
            }
            return Arrays.copyOf(value, size);
        }
    }
}
