package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.fescueport.platform.FreePorts;
import org.junit.jupiter.api.Test;

class SocketProxyTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final int END_OF_STREAM = -1;
    private static final int SENT = 7;

    @Test
    void shouldPassConnectionsOnAfterItsTargetWasDown() throws Exception {
        var target = FreePorts.next();
        try (var proxy = SocketProxy.start(target.getPort())) {
            try (var refused = connectTo(proxy)) {
                assertThat(refused.getInputStream().read(), is(END_OF_STREAM));
            }
            try (var listener = new ServerSocket(target.getPort(), 1, target.getAddress());
                    var caller = connectTo(proxy)) {
                listener.setSoTimeout(TIMEOUT_MS);
                caller.getOutputStream().write(SENT);
                try (var accepted = listener.accept()) {
                    accepted.setSoTimeout(TIMEOUT_MS);
                    assertThat(accepted.getInputStream().read(), is(SENT));
                }
            }
        }
    }

    private static Socket connectTo(SocketProxy proxy) throws Exception {
        var socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }
}
