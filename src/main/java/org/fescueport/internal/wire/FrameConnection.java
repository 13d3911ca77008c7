package org.fescueport.internal.wire;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueport.internal.wire.generated.Frame;

/** An open connection between two processes of the fleet; safe to use from any thread. */
public final class FrameConnection {
    private final Channel mChannel;
    private final AtomicLong mSentBytes;
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
        var sent = new CompletableFuture<Void>();
        mChannel.writeAndFlush(frame)
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                sent.complete(null);
                            } else {
                                sent.completeExceptionally(
                                        WireException.of(
                                                "could not send to " + this, done.cause()));
                            }
                        });
        return sent;
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
