package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.UnsupportedHttpVersionException;
import org.apache.hc.core5.http.impl.BasicEndpointDetails;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Parses the heads of one connection; one that is malformed, endless or slow is refused.
 *
 * <p>After that the connection's input is dropped until it is closed.
 */
final class HeadParser implements NHttpMessageParser<HttpRequest>, ArrivingRequests.Arrival {
    private static final long NONE = Long.MIN_VALUE;
    private static final int MOST_DROPPED_BYTES = 1 << 20;
    private static final int DROP_BYTES = 4096;
    private static final byte[] TOO_SLOW = tooSlow();

    private final HttpServer mServer;
    private final IOSession mSession;
    private final NHttpMessageParser<HttpRequest> mParser;
    private long mSinceNanos = NONE;
    private int mHeadBytes;
    private boolean mRefused;
    private int mDroppedBytes;

    HeadParser(HttpServer server, IOSession session, NHttpMessageParser<HttpRequest> parser) {
        mServer = server;
        mSession = session;
        mParser = parser;
    }

    @Override
    public synchronized HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream)
            throws IOException, HttpException {
        if (mRefused) {
            drop(buffer);
            return null;
        }
        int before = buffer.length();
        try {
            HttpRequest request = checked(mParser.parse(buffer, endOfStream));
            mHeadBytes += before - buffer.length();
            if (request != null) {
                forget();
            } else if (mHeadBytes + buffer.length() > mServer.maxHeadBytes()) {
                return refused(RefusedHead.Reason.TOO_LARGE);
            } else if (mSinceNanos == NONE && mHeadBytes + buffer.length() > 0) {
                mSinceNanos = mServer.settings().clock().monotonicTime();
                mServer.arriving().add(this);
            }
            return request;
        } catch (HttpException e) {
            return refused(RefusedHead.Reason.of(e));
        }
    }

    @Override
    public synchronized void reset() {
        mParser.reset();
    }

    @Override
    public synchronized long sinceNanos() {
        return mSinceNanos;
    }

    @Override
    public OpenConnections.Connection connection() {
        return mServer.connections()
                .find(
                        new BasicEndpointDetails(
                                mSession.getRemoteAddress(),
                                mSession.getLocalAddress(),
                                null,
                                null));
    }

    @Override
    public synchronized void cutOff() {
        if (mSinceNanos == NONE || mRefused) {
            return;
        }
        mRefused = true;
        OpenConnections.Connection connection = connection();
        boolean isSilent = (mSession.getEventMask() & SelectionKey.OP_WRITE) == 0;
        if (connection != null && connection.isIdleFor(0, NONE) && isSilent) {
            tellTooSlow();
        }
        mServer.countRefusedHead();
        mSession.close(CloseMode.GRACEFUL);
    }

    /** HttpCore sends no answer before a request has begun, so this goes past it. */
    private void tellTooSlow() {
        try {
            mSession.write(ByteBuffer.wrap(TOO_SLOW));
        } catch (IOException e) {
            mSession.close(CloseMode.IMMEDIATE);
        }
    }

    private static HttpRequest checked(HttpRequest request) throws HttpException {
        if (request != null) {
            if (request.getVersion() != null
                    && request.getVersion().greaterEquals(HttpVersion.HTTP_2)) {
                throw new UnsupportedHttpVersionException(request.getVersion());
            }
            DefaultContentLengthStrategy.INSTANCE.determineLength(request);
        }
        return request;
    }

    private HttpRequest refused(RefusedHead.Reason reason) {
        mRefused = true;
        forget();
        mServer.countRefusedHead();
        return new RefusedHead(reason);
    }

    private void forget() {
        mHeadBytes = 0;
        if (mSinceNanos != NONE) {
            mSinceNanos = NONE;
            mServer.arriving().remove(this);
        }
    }

    private void drop(SessionInputBuffer buffer) throws ConnectionClosedException {
        ByteBuffer dropped = ByteBuffer.allocate(DROP_BYTES);
        while (buffer.hasData()) {
            mDroppedBytes += buffer.read(dropped);
            dropped.clear();
        }
        if (mDroppedBytes > MOST_DROPPED_BYTES) {
            throw new ConnectionClosedException("The head that was refused goes on without end.");
        }
    }

    private static byte[] tooSlow() {
        byte[] body =
                JsonError.body(
                        "request_timeout",
                        "The request did not arrive whole within its time.",
                        408);
        String head =
                "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
                        + "Connection: close\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n";
        return (head + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
    }
}
