package org.fescueport.internal.http;

import java.io.IOException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.fescueport.internal.http1.ChunkLines;
import org.fescueport.internal.http1.HeadLines;
import org.fescueport.internal.http1.MalformedResponseException;

/**
 * The input of a response decoder that fails for lines that HTTP/1.1 does not allow; the library's
 * decoders repair them.
 */
final class CheckedLines extends FilterInputBuffer {
    private static final int BYTES_OF_LINE_END = 2;

    private interface Check {
        void accept(CharSequence line) throws MalformedResponseException;
    }

    private final Check mCheck;

    private CheckedLines(SessionInputBuffer buffer, Check check) {
        super(buffer);
        mCheck = check;
    }

    /** Returns the input for a head, of which these lines may have been read already. */
    static SessionInputBuffer ofHead(HeadLines lines, SessionInputBuffer buffer) {
        return new CheckedLines(buffer, lines::accept);
    }

    /** Returns the input for a body of this length, as a length strategy states it. */
    static SessionInputBuffer ofBody(long bodyLength, SessionInputBuffer buffer) {
        if (bodyLength != ContentLengthStrategy.CHUNKED) {
            return buffer;
        }
        return new CheckedLines(buffer, ChunkLines.create()::accept);
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        int bytesBefore = length();
        int start = line.length();
        boolean isWhole = super.readLine(line, endOfStream);
        if (isWhole) {
            int lineBytes = line.length() - start + BYTES_OF_LINE_END;
            if (bytesBefore - length() != lineBytes) {
                throw MalformedResponseException.of("a line that does not end with CR and LF");
            }
            mCheck.accept(line.subSequence(start, line.length()));
        }
        return isWhole;
    }
}
