package org.fescueport.internal.direct.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Serves callers' connections; the whole of the forwarding. */
public final class Forwarder {
    private final ForwardingContext mContext;
    private final CallerConnections mConnections;

    private Forwarder(ForwardingContext context) {
        mContext = context;
        mConnections = new CallerConnections(context);
    }

    /** Returns a forwarder without a connection. */
    public static Forwarder create(ForwardingContext context) {
        return new Forwarder(context);
    }

    /** Returns what prepares a caller's new connection. */
    public ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                int maxHeader = mConnections.limits().maxHeaderBytes();
                var connection = new CallerConnection(mContext, mConnections);
                channel.pipeline()
                        .addLast(new StrictRequestDecoder(maxHeader, connection::onBytesReceived))
                        .addLast(new HttpResponseEncoder())
                        .addLast(connection);
            }
        };
    }

    /** Looks after the times of all requests; to be called every few tens of milliseconds. */
    public void checkTimeouts() {
        mConnections.checkTimeouts(mContext.nowNanos());
        mContext.admissionControl().admitWaiting(mContext.nowNanos());
    }

    /** Closes what has been idle for too long; to be called a few times a second. */
    public void sweep() {
        mConnections.sweep(mContext.nowNanos());
        mContext.connectionPools().sweep();
        mContext.view().expire(mContext.nowNanos());
        mContext.crashes().sweep(mContext.nowNanos());
        mContext.admissionControl().sweep();
    }

    /**
     * From now on each connection ends behind the answer under way, and a request is refused that
     * may not be answered before the end.
     */
    public void beginStop(long refuseFromNanos, long stopDeadlineNanos) {
        mConnections.beginStop(refuseFromNanos, stopDeadlineNanos);
        mContext.admissionControl().beginStop(mContext.nowNanos());
        sweep();
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
