package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** An input that reads from another one; subclasses check what is read. */
abstract class FilterInputBuffer implements SessionInputBuffer {
    private final SessionInputBuffer mBuffer;

    FilterInputBuffer(SessionInputBuffer buffer) {
        mBuffer = buffer;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        return mBuffer.readLine(line, endOfStream);
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
