package org.fescueport.internal.http;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The input of a chunk decoder that fails if the connection ends inside a line, or where one is
 * due; the library's decoder takes the end of the connection for the end of the line.
 */
final class WholeChunkLines extends FilterInputBuffer {
    private WholeChunkLines(SessionInputBuffer buffer) {
        super(buffer);
    }

    /** Returns the input for a body of this length, as a length strategy states it. */
    static SessionInputBuffer of(long bodyLength, SessionInputBuffer buffer) {
        return bodyLength == ContentLengthStrategy.CHUNKED ? new WholeChunkLines(buffer) : buffer;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        boolean isWhole = super.readLine(line, false);
        if (!isWhole && endOfStream) {
            throw new ConnectionClosedException("The connection ended inside the chunks.");
        }
        return isWhole;
    }
}
