package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http2.ssl.ApplicationProtocol;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Tells HTTP/2 with prior knowledge from HTTP/1.1 by the first bytes of a plain connection.
 *
 * <p>HttpCore negotiates over TLS only; both protocols must be registered with the session.
 */
final class ProtocolDetector implements IOEventHandler {
    private static final byte[] PREFACE =
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ProtocolIOSession mSession;
    private final ByteBuffer mRead = ByteBuffer.allocate(PREFACE.length);

    ProtocolDetector(ProtocolIOSession session) {
        mSession = session;
    }

    @Override
    public void connected(IOSession session) {}

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (session.read(mRead) < 0) {
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        int matching = matchingBytes();
        if (matching < mRead.position()) {
            goOn(ApplicationProtocol.HTTP_1_1);
        } else if (matching == PREFACE.length) {
            goOn(ApplicationProtocol.HTTP_2);
        }
    }

    @Override
    public void outputReady(IOSession session) {}

    @Override
    public void timeout(IOSession session, Timeout timeout) {
        session.close(CloseMode.IMMEDIATE);
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        session.close(CloseMode.IMMEDIATE);
    }

    @Override
    public void disconnected(IOSession session) {}

    private int matchingBytes() {
        int matching = 0;
        while (matching < mRead.position() && mRead.get(matching) == PREFACE[matching]) {
            matching++;
        }
        return matching;
    }

    private void goOn(ApplicationProtocol protocol) throws IOException {
        mSession.switchProtocol(protocol.id, null);
        mRead.flip();
        mSession.getHandler().inputReady(mSession, mRead);
    }
}
