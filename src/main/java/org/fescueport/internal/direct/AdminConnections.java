package org.fescueport.internal.direct;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the connections to one admin address. A new one is always accepted, as it may be the
 * platform's health check; the oldest is closed for it.
 *
 * <p>Its event loop must be the only one.
 */
@Sharable
final class AdminConnections extends ChannelInboundHandlerAdapter {
    /** Many times what the platform keeps open. */
    private static final int MAX_CONNECTIONS = 128;

    private final Set<Channel> mOpen = new LinkedHashSet<>();

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        if (mOpen.size() >= MAX_CONNECTIONS) {
            Channel oldest = mOpen.iterator().next();
            mOpen.remove(oldest);
            oldest.close();
        }
        mOpen.add(context.channel());
        super.channelActive(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        mOpen.remove(context.channel());
        super.channelInactive(context);
    }
}
