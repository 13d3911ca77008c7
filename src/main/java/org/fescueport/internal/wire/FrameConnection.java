package org.fescueport.internal.wire;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueport.internal.wire.generated.Frame;

/** An open connection between two processes of the fleet; safe to use from any thread. */
public final class FrameConnection {
    private record Outgoing(Frame frame, CompletableFuture<Void> sent) {}

    private final Channel mChannel;
    private final AtomicLong mSentBytes;
    private final Queue<Outgoing> mOutgoing = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mIsWriting = new AtomicBoolean();
    private volatile Object mAttachment;

    private FrameConnection(Channel channel, AtomicLong sentBytes) {
        mChannel = channel;
        mSentBytes = sentBytes;
    }

    /** Returns a connection over a channel that carries frames, whose bytes nobody counts. */
    public static FrameConnection over(Channel channel) {
        return new FrameConnection(channel, new AtomicLong());
    }

    static FrameConnection of(Channel channel, AtomicLong sentBytes) {
        return new FrameConnection(channel, sentBytes);
    }

    /**
     * Sends a frame. The future tells when it was handed to the operating system, which is no
     * evidence that the peer has it.
     */
    public CompletableFuture<Void> send(Frame frame) {
        mSentBytes.addAndGet(frame.getSerializedSize());
        var outgoing = new Outgoing(frame, new CompletableFuture<>());
        mOutgoing.add(outgoing);
        if (mChannel.eventLoop().inEventLoop()) {
            writeOutgoing();
        } else if (mIsWriting.compareAndSet(false, true)) {
            wakeWriter();
        }
        return outgoing.sent();
    }

    /** Frames that are sent until the I/O thread comes to them share one wake-up and one flush. */
    private void wakeWriter() {
        try {
            mChannel.eventLoop().execute(this::writeOutgoing);
        } catch (RejectedExecutionException e) {
            mIsWriting.set(false);
            Outgoing lost = mOutgoing.poll();
            while (lost != null) {
                lost.sent().completeExceptionally(notSent(e));
                lost = mOutgoing.poll();
            }
        }
    }

    private void writeOutgoing() {
        mIsWriting.set(false);
        Outgoing next = mOutgoing.poll();
        while (next != null) {
            var sent = next.sent();
            mChannel.write(next.frame())
                    .addListener(
                            done -> {
                                if (done.isSuccess()) {
                                    sent.complete(null);
                                } else {
                                    sent.completeExceptionally(notSent(done.cause()));
                                }
                            });
            next = mOutgoing.poll();
        }
        mChannel.flush();
    }

    private WireException notSent(Throwable cause) {
        return WireException.of("could not send to " + this, cause);
    }

    /** Returns whether the connection is open. */
    public boolean isOpen() {
        return mChannel.isActive();
    }

    /** Stops or continues reading from the peer. */
    public void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    /** Returns the peer's address. */
    public InetSocketAddress peer() {
        return (InetSocketAddress) mChannel.remoteAddress();
    }

    /** Keeps one object of the owner's with the connection. */
    public void attach(Object attachment) {
        mAttachment = attachment;
    }

    /** Returns the object that was attached, or null. */
    public Object attachment() {
        return mAttachment;
    }

    /** Closes the connection. */
    public void close() {
        mChannel.close();
    }

    @Override
    public String toString() {
        return String.valueOf(mChannel.remoteAddress());
    }
}
