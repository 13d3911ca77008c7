package org.fescueport.internal.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.Clock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.FrameListener;
import org.fescueport.internal.wire.FrameTransport;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AgentConnectionsTest {
    private static final long TIMEOUT_SECONDS = 5;

    private final FrameTransport mTransport =
            FrameTransport.create(1, Optional::empty, Optional::empty, refused -> {});
    private final Telemetry mTelemetry =
            Telemetry.create("test", "router-1", Optional.empty(), Clock.SYSTEM);
    private final AgentConnections mConnections =
            AgentConnections.create(
                    mTransport,
                    NodeId.of("router-1"),
                    1,
                    () -> 0,
                    Membership.create(
                            () -> CompletableFuture.completedFuture(List.of()),
                            Clock.SYSTEM,
                            mTelemetry),
                    (link, version) -> {},
                    Clock.SYSTEM,
                    mTelemetry);

    @AfterEach
    void close() {
        mTransport.close();
    }

    @Test
    void shouldConnectToTheAgentThatTheListNames() throws Exception {
        var link = mConnections.to(agentThatSaysItIs("vm-1"));
        assertThat(link.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isOpen(), is(true));
    }

    @Test
    void shouldNotTakeAnotherVmAtAReusedAddressForTheOneThatTheListNames() {
        var link = mConnections.to(agentThatSaysItIs("vm-2"));
        assertThrows(ExecutionException.class, () -> link.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Returns what the list says of vm-1, at whose address some agent answers. */
    private Replica agentThatSaysItIs(String node) {
        var loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        var address = mTransport.listen(loopback, new Greeter(node));
        var text = address.getHostString() + ":" + address.getPort();
        return new Replica(NodeId.of("vm-1"), FailureDomain.of("fd"), text, 1, 0);
    }

    private record Greeter(String node) implements FrameListener {
        @Override
        public void onOpen(FrameConnection connection) {
            var hello = Hello.newBuilder().setNode(node).setIncarnation(7);
            connection.send(Frame.newBuilder().setHello(hello).build());
        }

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {}

        @Override
        public void onClosed(FrameConnection connection) {}
    }
}
