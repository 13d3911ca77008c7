package org.fescueport.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Addresses on loopback for programs that are told where to listen.
 *
 * <p>A port that the system hands out may be handed to a connection between its choice and its use;
 * these lie below those, and no test asks for one twice in a row.
 */
public final class FreePorts {
    private static final int FIRST = 15_000;
    private static final int COUNT = 15_000;
    private static int sNext = ThreadLocalRandom.current().nextInt(COUNT);

    private FreePorts() {}

    /** Returns an address that nobody listens on. */
    public static synchronized InetSocketAddress next() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int tried = 0; tried < COUNT; tried++) {
            int port = FIRST + sNext;
            sNext = (sNext + 1) % COUNT;
            if (isFree(loopback, port)) {
                return new InetSocketAddress(loopback, port);
            }
        }
        throw new IOException("No port from " + FIRST + " on is free.");
    }

    private static boolean isFree(InetAddress loopback, int port) {
        try (var socket = new ServerSocket(port, 1, loopback)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
