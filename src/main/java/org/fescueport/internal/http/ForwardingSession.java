package org.fescueport.internal.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/** A session that passes everything on to another one, for those that change a little of it. */
abstract class ForwardingSession implements IOSession {
    private final IOSession mSession;

    ForwardingSession(IOSession session) {
        mSession = session;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return mSession.read(target);
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return mSession.write(source);
    }

    @Override
    public boolean isOpen() {
        return mSession.isOpen();
    }

    @Override
    public String getId() {
        return mSession.getId();
    }

    @Override
    public IOEventHandler getHandler() {
        return mSession.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        mSession.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return mSession.getLock();
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        mSession.enqueue(command, priority);
    }

    @Override
    public boolean hasCommands() {
        return mSession.hasCommands();
    }

    @Override
    public Command poll() {
        return mSession.poll();
    }

    @Override
    public ByteChannel channel() {
        return mSession.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return mSession.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return mSession.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return mSession.getEventMask();
    }

    @Override
    public void setEventMask(int mask) {
        mSession.setEventMask(mask);
    }

    @Override
    public void setEvent(int operation) {
        mSession.setEvent(operation);
    }

    @Override
    public void clearEvent(int operation) {
        mSession.clearEvent(operation);
    }

    @Override
    public void close() {
        mSession.close();
    }

    @Override
    public void close(CloseMode mode) {
        mSession.close(mode);
    }

    @Override
    public Status getStatus() {
        return mSession.getStatus();
    }

    @Override
    public Timeout getSocketTimeout() {
        return mSession.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        mSession.setSocketTimeout(timeout);
    }

    @Override
    public long getLastReadTime() {
        return mSession.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return mSession.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return mSession.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        mSession.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        mSession.updateWriteTime();
    }
}
