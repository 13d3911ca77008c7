package org.fescueport.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ProtocolUpgradeHandler;
import org.apache.hc.core5.util.Timeout;

/**
 * Lets HTTP/2 callers in that allow the server no streams of its own, as the JDK's client does.
 *
 * <p>HttpCore takes a SETTINGS_MAX_CONCURRENT_STREAMS of 0 for a fault of the connection, though
 * RFC 9113 (6.5.2) allows it. Servers here open no streams, so another number changes nothing.
 */
final class SettingsRepair implements IOEventHandler {
    private static final int PREFACE_BYTES = 24;
    private static final int FRAME_HEADER_BYTES = 9;
    private static final int LONGEST_SETTINGS_BYTES = 1024;
    private static final int READ_BYTES = 4096;
    private static final int SETTINGS_TYPE = 4;
    private static final int MAX_CONCURRENT_STREAMS = 3;
    private static final int SETTING_BYTES = 6;

    private final ProtocolIOSession mSession;
    private final ProtocolUpgradeHandler mNext;
    private final FutureCallback<ProtocolIOSession> mCallback;
    private final ByteArrayOutputStream mRead = new ByteArrayOutputStream();

    private SettingsRepair(
            ProtocolIOSession session,
            ProtocolUpgradeHandler next,
            FutureCallback<ProtocolIOSession> callback) {
        mSession = session;
        mNext = next;
        mCallback = callback;
    }

    /** Returns a start of HTTP/2 that repairs the caller's first settings and then goes on. */
    static ProtocolUpgradeHandler before(ProtocolUpgradeHandler next) {
        return (session, callback) -> session.upgrade(new SettingsRepair(session, next, callback));
    }

    @Override
    public void connected(IOSession session) {}

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (source != null) {
            take(source);
        }
        boolean isOpen = readAll(session);
        byte[] bytes = mRead.toByteArray();
        if (!isOpen) {
            session.close(CloseMode.IMMEDIATE);
        } else if (isWhole(bytes)) {
            repair(bytes);
            mNext.upgrade(mSession, mCallback);
            mSession.getHandler().inputReady(session, ByteBuffer.wrap(bytes));
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

    private boolean readAll(IOSession session) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
        int length = session.read(buffer);
        while (length > 0) {
            take(buffer.flip());
            buffer.clear();
            length = session.read(buffer);
        }
        return length == 0;
    }

    private void take(ByteBuffer source) {
        byte[] bytes = new byte[source.remaining()];
        source.get(bytes);
        mRead.writeBytes(bytes);
    }

    /** Returns whether the first settings are there, or too long to wait for. */
    private static boolean isWhole(byte[] bytes) {
        int entries = PREFACE_BYTES + FRAME_HEADER_BYTES;
        return bytes.length >= entries + LONGEST_SETTINGS_BYTES
                || (bytes.length >= entries && bytes.length >= entries + settingsLength(bytes));
    }

    private static int settingsLength(byte[] bytes) {
        ByteBuffer frame = ByteBuffer.wrap(bytes, PREFACE_BYTES, FRAME_HEADER_BYTES);
        return frame.getInt() >>> Byte.SIZE;
    }

    private static void repair(byte[] bytes) {
        if (bytes[PREFACE_BYTES + 3] != SETTINGS_TYPE) {
            return;
        }
        int first = PREFACE_BYTES + FRAME_HEADER_BYTES;
        int end = Math.min(bytes.length, first + settingsLength(bytes));
        ByteBuffer all = ByteBuffer.wrap(bytes);
        for (int at = first; at + SETTING_BYTES <= end; at += SETTING_BYTES) {
            int value = at + Short.BYTES;
            if (all.getShort(at) == MAX_CONCURRENT_STREAMS && all.getInt(value) == 0) {
                all.putInt(value, Integer.MAX_VALUE);
            }
        }
    }
}
