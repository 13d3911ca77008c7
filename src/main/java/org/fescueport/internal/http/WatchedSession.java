package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.apache.hc.core5.reactor.IOSession;

/**
 * A session that tells when its other end has closed.
 *
 * <p>HttpCore itself takes this for a half-closed connection and goes on with a running answer.
 */
final class WatchedSession extends ForwardingSession {
    private final Consumer<String> mOnEndOfInput;

    WatchedSession(IOSession session, Consumer<String> onEndOfInput) {
        super(session);
        mOnEndOfInput = onEndOfInput;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int length = super.read(target);
        if (length < 0) {
            mOnEndOfInput.accept(getId());
        }
        return length;
    }
}
