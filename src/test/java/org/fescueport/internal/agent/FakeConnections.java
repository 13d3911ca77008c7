package org.fescueport.internal.agent;

import io.netty.channel.embedded.EmbeddedChannel;
import org.fescueport.internal.wire.FrameConnection;

/** Connections that lead nowhere. */
final class FakeConnections {
    private FakeConnections() {}

    static FrameConnection open() {
        return FrameConnection.over(new EmbeddedChannel());
    }
}
