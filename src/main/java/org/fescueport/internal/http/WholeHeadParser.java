package org.fescueport.internal.http;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * A parser that fails if the connection ends inside a head; the library's own parsers take the end
 * of the connection for the end of the head.
 */
final class WholeHeadParser<T extends MessageHeaders> implements NHttpMessageParser<T> {
    private final NHttpMessageParser<T> mParser;

    /** Whether bytes of a head have come that has not ended. */
    private boolean mHeadBegun;

    private WholeHeadParser(NHttpMessageParser<T> parser) {
        mParser = parser;
    }

    /** Returns a parser that reads heads with the given one. */
    static <T extends MessageHeaders> WholeHeadParser<T> of(NHttpMessageParser<T> parser) {
        return new WholeHeadParser<>(parser);
    }

    @Override
    public void reset() {
        mHeadBegun = false;
        mParser.reset();
    }

    @Override
    public T parse(SessionInputBuffer buffer, boolean endOfStream)
            throws IOException, HttpException {
        mHeadBegun |= buffer.hasData();
        T head = mParser.parse(buffer, false);
        if (head != null) {
            mHeadBegun = false;
            return head;
        }
        if (endOfStream && mHeadBegun) {
            throw new ConnectionClosedException("The connection ended inside a head.");
        }
        return endOfStream ? mParser.parse(buffer, true) : null;
    }
}
