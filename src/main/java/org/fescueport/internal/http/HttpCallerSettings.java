package org.fescueport.internal.http;

import java.time.Duration;

/**
 * Bounds of an {@link AsyncHttpCaller}.
 *
 * @param connectTimeout time to get a connection, from the pool or anew
 * @param keepAlive longest life of a connection
 * @param maxBodyBytes longest answer that {@link HttpCaller#call} gathers
 */
public record HttpCallerSettings(
        int maxConnectionsPerHost,
        int maxConnections,
        Duration connectTimeout,
        Duration keepAlive,
        int maxBodyBytes,
        int ioThreads) {
    private static final int DEFAULT_CONNECTIONS_PER_HOST = 256;
    private static final int DEFAULT_CONNECTIONS = 2048;
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofMinutes(10);
    private static final int DEFAULT_MAX_BODY_BYTES = 64 << 20;

    /** Returns the usual bounds. */
    public static HttpCallerSettings defaults() {
        return new HttpCallerSettings(
                DEFAULT_CONNECTIONS_PER_HOST,
                DEFAULT_CONNECTIONS,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_KEEP_ALIVE,
                DEFAULT_MAX_BODY_BYTES,
                1);
    }

    /** Returns a copy with other bounds on connections. */
    public HttpCallerSettings withConnections(int perHost, int total) {
        return new HttpCallerSettings(
                perHost, total, connectTimeout, keepAlive, maxBodyBytes, ioThreads);
    }

    /** Returns a copy with another number of I/O threads. */
    public HttpCallerSettings withIoThreads(int threads) {
        return new HttpCallerSettings(
                maxConnectionsPerHost,
                maxConnections,
                connectTimeout,
                keepAlive,
                maxBodyBytes,
                threads);
    }

    /** Returns a copy with another time to get a connection. */
    public HttpCallerSettings withConnectTimeout(Duration timeout) {
        return new HttpCallerSettings(
                maxConnectionsPerHost, maxConnections, timeout, keepAlive, maxBodyBytes, ioThreads);
    }
}
