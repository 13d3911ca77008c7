package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The input of a chunk decoder that fails if the connection ends inside a line, or where one is
 * due; the library's decoder takes the end of the connection for the end of the line.
 */
final class WholeChunkLines implements SessionInputBuffer {
    private final SessionInputBuffer mBuffer;

    private WholeChunkLines(SessionInputBuffer buffer) {
        mBuffer = buffer;
    }

    /** Returns the input for a body of this length, as a length strategy states it. */
    static SessionInputBuffer of(long bodyLength, SessionInputBuffer buffer) {
        return bodyLength == ContentLengthStrategy.CHUNKED ? new WholeChunkLines(buffer) : buffer;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        boolean isWhole = mBuffer.readLine(line, false);
        if (!isWhole && endOfStream) {
            throw new ConnectionClosedException("The connection ended inside the chunks.");
        }
        return isWhole;
    }

    @Override
    public boolean hasData() {
        return mBuffer.hasData();
    }

    @Override
    public int length() {
        return mBuffer.length();
    }

    @Override
    public int fill(ReadableByteChannel channel) throws IOException {
        return mBuffer.fill(channel);
    }

    @Override
    public int read() {
        return mBuffer.read();
    }

    @Override
    public int read(ByteBuffer target, int maxBytes) {
        return mBuffer.read(target, maxBytes);
    }

    @Override
    public int read(ByteBuffer target) {
        return mBuffer.read(target);
    }

    @Override
    public int read(WritableByteChannel target, int maxBytes) throws IOException {
        return mBuffer.read(target, maxBytes);
    }

    @Override
    public int read(WritableByteChannel target) throws IOException {
        return mBuffer.read(target);
    }
}
