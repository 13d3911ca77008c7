package org.fescueport.internal.direct.forward;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import org.fescueport.internal.decision.admission.ShutdownSchedule;

/** Serves the connections of callers. Entry point of the forwarding of requests. */
public final class Forwarder {
    /** Limits how long one connection is read while others wait. */
    private static final int MAX_READS_IN_A_ROW = 16;

    private final ForwardingContext mContext;
    private final CallerConnections mConnections;

    private Forwarder(ForwardingContext context) {
        mContext = context;
        mConnections = new CallerConnections(context);
    }

    /** Returns a forwarder without connections. */
    public static Forwarder create(ForwardingContext context) {
        return new Forwarder(context);
    }

    /** Returns the initializer for channels of new callers. */
    public ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.config().setRecvByteBufAllocator(readUntilEmpty());
                int maxHeader = mConnections.limits().maxHeaderBytes();
                var account = new HeadAccount(mContext.quota(), maxHeader);
                var connection = new CallerConnection(mContext, mConnections, account);
                var decoder = new StrictRequestDecoder(maxHeader, account, connection);
                connection.use(decoder);
                channel.pipeline()
                        .addLast(decoder)
                        .addLast(new CallerResponseEncoder(connection::method))
                        .addLast(connection);
            }
        };
    }

    /**
     * Returns an allocator with which a connection is read until no bytes are left, so that a
     * disconnect right after a request is seen before the request is forwarded.
     */
    private static RecvByteBufAllocator readUntilEmpty() {
        var allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_READS_IN_A_ROW);
        allocator.respectMaybeMoreData(false);
        return allocator;
    }

    /**
     * Checks the timeouts of all requests and admits queued ones. Must be called every few tens of
     * milliseconds.
     */
    public void checkTimeouts() {
        mConnections.checkTimeouts(mContext.nowNanos());
        mContext.admissionControl().admitWaiting(mContext.nowNanos());
    }

    /**
     * Closes connections that have been idle for too long and removes outdated state. Must be
     * called a few times a second.
     */
    public void sweep() {
        mConnections.sweep(mContext.nowNanos());
        mContext.connectionPools().sweep();
        mContext.view().expire(mContext.nowNanos());
        mContext.crashes().sweep(mContext.nowNanos());
        mContext.admissionControl().sweep();
    }

    /**
     * Begins to stop: each connection is closed after the response in progress, and a request that
     * may not be answered before the end is refused.
     */
    public void beginStop(ShutdownSchedule schedule) {
        mConnections.beginStop(schedule);
        mContext.admissionControl().beginStop(mContext.nowNanos());
        sweep();
    }

    /**
     * Ends all requests, as the process is about to end: those without a response are answered, and
     * responses in progress are cut off.
     */
    public void onNodeEnding() {
        mContext.admissionControl().stopAdmitting();
        mConnections.onNodeEnding();
    }

    /** Returns whether no caller is connected. */
    public boolean isIdle() {
        return mConnections.isEmpty();
    }

    /** Returns how many callers are connected. */
    public int connections() {
        return mConnections.size();
    }
}
