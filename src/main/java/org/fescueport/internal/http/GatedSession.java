package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.reactor.IOSession;

/**
 * A session that reads nothing while its gate is shut.
 *
 * <p>The library's window only stops it from waiting for more data: one read event goes on for as
 * long as the other end is quicker than we are. The gate ends such an event, so that a reader which
 * has stopped holds no more than its window.
 */
final class GatedSession extends ForwardingSession {
    /** Whether a connection may read now. */
    static final class Gate {
        private volatile boolean mIsShut;

        void shut() {
            mIsShut = true;
        }

        void open() {
            mIsShut = false;
        }
    }

    private final Gate mGate;

    private GatedSession(IOSession session, Gate gate) {
        super(session);
        mGate = gate;
    }

    static GatedSession of(IOSession session, Gate gate) {
        return new GatedSession(session, gate);
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return mGate.mIsShut ? 0 : super.read(target);
    }
}
