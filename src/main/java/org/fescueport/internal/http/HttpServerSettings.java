package org.fescueport.internal.http;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;

/**
 * Address and bounds of an {@link HttpServer}.
 *
 * @param port 0 takes a free port
 * @param maxBodyBytes a longer body is answered with 413
 * @param maxHeldBytes bodies in hand at a time; what goes above it is answered with 503
 * @param maxLineBytes longest request line or header
 * @param maxHeaderCount most headers of a request
 * @param idleTimeout a connection without a request in hand is closed after this time; the head of
 *     a request and its body must each arrive whole within it, else the answer is 408
 * @param maxConnections further connections are closed at once
 * @param ioThreads threads that read, write and run handlers
 * @param tls asked for at each new connection; absent for plain TCP
 */
public record HttpServerSettings(
        String host,
        int port,
        int maxBodyBytes,
        long maxHeldBytes,
        int maxLineBytes,
        int maxHeaderCount,
        Duration idleTimeout,
        int maxConnections,
        int ioThreads,
        Optional<Supplier<SSLContext>> tls,
        Clock clock,
        MeterRegistry meters) {
    private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;
    private static final int HEAP_PER_HELD_BYTES = 8;
    private static final int DEFAULT_MAX_LINE_BYTES = 8 << 10;
    private static final int DEFAULT_MAX_HEADER_COUNT = 64;
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final int DEFAULT_MAX_CONNECTIONS = 10_000;
    private static final int DEFAULT_IO_THREADS = 2;

    /** Returns settings for an address with the usual bounds. */
    public static HttpServerSettings of(String host, int port) {
        return new HttpServerSettings(
                host,
                port,
                DEFAULT_MAX_BODY_BYTES,
                Runtime.getRuntime().maxMemory() / HEAP_PER_HELD_BYTES,
                DEFAULT_MAX_LINE_BYTES,
                DEFAULT_MAX_HEADER_COUNT,
                DEFAULT_IDLE_TIMEOUT,
                DEFAULT_MAX_CONNECTIONS,
                DEFAULT_IO_THREADS,
                Optional.empty(),
                Clock.SYSTEM,
                new SimpleMeterRegistry());
    }

    /** Returns a copy with another bound on bodies. */
    public HttpServerSettings withMaxBodyBytes(int bytes) {
        return new HttpServerSettings(
                host,
                port,
                bytes,
                maxHeldBytes,
                maxLineBytes,
                maxHeaderCount,
                idleTimeout,
                maxConnections,
                ioThreads,
                tls,
                clock,
                meters);
    }

    /** Returns a copy with another bound on all bodies in hand. */
    public HttpServerSettings withMaxHeldBytes(long bytes) {
        return new HttpServerSettings(
                host,
                port,
                maxBodyBytes,
                bytes,
                maxLineBytes,
                maxHeaderCount,
                idleTimeout,
                maxConnections,
                ioThreads,
                tls,
                clock,
                meters);
    }

    /** Returns a copy with other bounds on connections. */
    public HttpServerSettings withConnections(int most, Duration idle) {
        return new HttpServerSettings(
                host,
                port,
                maxBodyBytes,
                maxHeldBytes,
                maxLineBytes,
                maxHeaderCount,
                idle,
                most,
                ioThreads,
                tls,
                clock,
                meters);
    }

    /** Returns a copy with another number of I/O threads. */
    public HttpServerSettings withIoThreads(int threads) {
        return new HttpServerSettings(
                host,
                port,
                maxBodyBytes,
                maxHeldBytes,
                maxLineBytes,
                maxHeaderCount,
                idleTimeout,
                maxConnections,
                threads,
                tls,
                clock,
                meters);
    }

    /** Returns a copy that serves over TLS, with HTTP/2 by ALPN. */
    public HttpServerSettings withTls(Supplier<SSLContext> context) {
        return new HttpServerSettings(
                host,
                port,
                maxBodyBytes,
                maxHeldBytes,
                maxLineBytes,
                maxHeaderCount,
                idleTimeout,
                maxConnections,
                ioThreads,
                Optional.of(context),
                clock,
                meters);
    }

    /** Returns a copy that counts in {@code registry}. */
    public HttpServerSettings withMeters(MeterRegistry registry) {
        return new HttpServerSettings(
                host,
                port,
                maxBodyBytes,
                maxHeldBytes,
                maxLineBytes,
                maxHeaderCount,
                idleTimeout,
                maxConnections,
                ioThreads,
                tls,
                clock,
                registry);
    }
}
