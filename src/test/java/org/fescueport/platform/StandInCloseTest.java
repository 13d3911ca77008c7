package org.fescueport.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.RepeatedTest;

class StandInCloseTest {
    private static final int TIMEOUT_MS = 2_000;
    private static final int CONNECTIONS = 50;
    private static final int END_OF_STREAM = -1;

    @RepeatedTest(50)
    void shouldCloseConnectionsThatAServerAcceptsWhileItIsClosed() throws Exception {
        var server = RawServer.start((request, wire) -> {});
        var connections = connectTo(server.address());
        server.close();
        awaitEnd(connections);
    }

    @RepeatedTest(50)
    void shouldCloseConnectionsThatAProxyAcceptsWhileItIsClosed() throws Exception {
        try (var server = RawServer.start((request, wire) -> {})) {
            var proxy = FaultProxy.before(server.address());
            var connections = connectTo(proxy.address());
            proxy.close();
            awaitEnd(connections);
        }
    }

    private static List<Socket> connectTo(InetSocketAddress address) throws IOException {
        var connections = new ArrayList<Socket>();
        for (int i = 0; i < CONNECTIONS; i++) {
            var socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(TIMEOUT_MS);
            connections.add(socket);
        }
        return connections;
    }

    private static void awaitEnd(List<Socket> connections) throws IOException {
        for (var socket : connections) {
            assertThat(readOne(socket), is(END_OF_STREAM));
            socket.close();
        }
    }

    /** Returns what a read returns; a reset counts as an end. */
    private static int readOne(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read();
        } catch (SocketException e) {
            return END_OF_STREAM;
        }
    }
}
