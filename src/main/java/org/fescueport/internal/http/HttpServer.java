package org.fescueport.internal.http;

import io.micrometer.core.instrument.Counter;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http2.config.H2Config;
import org.apache.hc.core5.http2.impl.H2Processors;
import org.apache.hc.core5.http2.impl.nio.HttpProtocolNegotiator;
import org.apache.hc.core5.http2.impl.nio.ServerH2StreamMultiplexerFactory;
import org.apache.hc.core5.http2.impl.nio.ServerH2UpgradeHandler;
import org.apache.hc.core5.http2.ssl.ApplicationProtocol;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ProtocolUpgradeHandler;
import org.apache.hc.core5.util.TimeValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves HTTP/1.1 and HTTP/2 on one port.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.start(HttpServerSettings.of("127.0.0.1", 0), handler);
 * server.port();
 * server.drain(Duration.ofSeconds(30));
 * }</pre>
 */
public final class HttpServer implements AutoCloseable {
    static final Map<String, String> CLOSE = Map.of("Connection", "close");

    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final int MOST_UNACCEPTED = 1024;
    private static final int MAX_CONCURRENT_STREAMS = 1000;
    private static final int LINES_PER_HEAD = 4;
    private static final int SWEEPS_PER_TIMEOUT = 4;
    private static final long START_TIMEOUT_SECONDS = 10;

    private final HttpServerSettings mSettings;
    private final HttpHandler mHandler;
    private final OpenConnections mConnections;
    private final ArrivingRequests mArriving = new ArrivingRequests();
    private final AtomicLong mHeldBytes = new AtomicLong();
    private final HttpProcessor mHttp1Rules = new RequestRules(HttpProcessors.server());
    private final HttpProcessor mHttp2Rules = new RequestRules(H2Processors.server());
    private final HttpAsyncServer mServer;
    private final ScheduledExecutorService mSweeper;
    private final Counter mHandlerFailures;
    private final Counter mBodiesTooLarge;
    private final Counter mHeadsRefused;
    private final Counter mConnectionErrors;
    private final Counter mIdleClosed;
    private InetSocketAddress mAddress;
    private volatile boolean mDraining;

    private HttpServer(HttpServerSettings settings, HttpHandler handler) {
        mSettings = settings;
        mHandler = handler;
        Counter refused = settings.meters().counter("fescue.http.connections.refused");
        mConnections = OpenConnections.ofServer(settings.maxConnections(), refused::increment);
        mHandlerFailures = settings.meters().counter("fescue.http.handler.failures");
        mBodiesTooLarge = settings.meters().counter("fescue.http.bodies.too.large");
        mHeadsRefused = settings.meters().counter("fescue.http.heads.refused");
        mConnectionErrors = settings.meters().counter("fescue.http.connection.errors");
        mIdleClosed = settings.meters().counter("fescue.http.connections.idle.closed");
        settings.meters().gauge("fescue.http.bodies.held.bytes", mHeldBytes);
        mServer = createServer();
        mSweeper =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("http-idle-").factory());
    }

    /** Starts a server; throws {@link IllegalStateException} when the port cannot be had. */
    public static HttpServer start(HttpServerSettings settings, HttpHandler handler) {
        HttpServer server = new HttpServer(settings, handler);
        try {
            server.listen();
        } catch (ExecutionException | java.util.concurrent.TimeoutException e) {
            server.close();
            throw new IllegalStateException(
                    "Cannot listen on %s:%d: %s. Choose another address or port."
                            .formatted(settings.host(), settings.port(), e.getMessage()),
                    e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            server.close();
            throw new IllegalStateException("Interrupted while the HTTP server started.", e);
        }
        return server;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mAddress.getPort();
    }

    /**
     * Stops accepting, tells callers that connections end, and waits until the running exchanges
     * have ended; cuts off what still runs after {@code limit}.
     */
    public void drain(Duration limit) {
        mDraining = true;
        mServer.initiateShutdown();
        try {
            mServer.awaitShutdown(TimeValue.of(limit));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    @Override
    public void close() {
        mSweeper.shutdownNow();
        mServer.close(CloseMode.IMMEDIATE);
    }

    HttpServerSettings settings() {
        return mSettings;
    }

    HttpHandler handler() {
        return mHandler;
    }

    OpenConnections connections() {
        return mConnections;
    }

    boolean isDraining() {
        return mDraining;
    }

    void countHandlerFailure(RuntimeException failure) {
        mHandlerFailures.increment();
        LOG.error("HTTP handler failed", failure);
    }

    void countBodyTooLarge() {
        mBodiesTooLarge.increment();
    }

    void countRefusedHead() {
        mHeadsRefused.increment();
    }

    ArrivingRequests arriving() {
        return mArriving;
    }

    int maxHeadBytes() {
        return LINES_PER_HEAD * mSettings.maxLineBytes();
    }

    /** Takes room for a part of a body; returns false when there is none. */
    boolean hold(int bytes) {
        if (mHeldBytes.addAndGet(bytes) <= mSettings.maxHeldBytes()) {
            return true;
        }
        mHeldBytes.addAndGet(-bytes);
        return false;
    }

    void letGo(int bytes) {
        mHeldBytes.addAndGet(-bytes);
    }

    /** Returns whether a request's headers are above the bounds, which the parser allows twice. */
    boolean hasTooMuchHead(HttpRequest request) {
        Header[] headers = request.getHeaders();
        if (headers.length > mSettings.maxHeaderCount()
                || request.getPath().length() > mSettings.maxLineBytes()) {
            return true;
        }
        for (Header header : headers) {
            String value = header.getValue();
            int length = header.getName().length() + (value == null ? 0 : value.length());
            if (length > mSettings.maxLineBytes()) {
                return true;
            }
        }
        return false;
    }

    private HttpAsyncServer createServer() {
        HandlerFactory<AsyncServerExchangeHandler> exchanges =
                (request, context) -> new ServerExchange(this);
        Callback<Exception> onError = failure -> mConnectionErrors.increment();
        ServerH2StreamMultiplexerFactory http2 = http2(exchanges);
        ProtocolUpgradeHandler http2Start =
                SettingsRepair.before(new ServerH2UpgradeHandler(http2, onError));
        var http1 =
                new WholeRequestStreams.Settings(mHttp1Rules, exchanges, http1Config(), onError);
        var parsers = new DefaultHttpRequestParserFactory(http1.config());
        return new HttpAsyncServer(
                (session, attachment) -> {
                    var parser =
                            new HeadParser(this, session, WholeHeadParser.of(parsers.create()));
                    // Both are needed on plain connections too.
                    session.registerProtocol(
                            ApplicationProtocol.HTTP_1_1.id,
                            WholeRequestStreams.start(http1, parser));
                    session.registerProtocol(ApplicationProtocol.HTTP_2.id, http2Start);
                    if (mSettings.tls().isEmpty()) {
                        return new ProtocolDetector(session);
                    }
                    RenewedTlsStrategy.of(mSettings.tls().get())
                            .upgrade(session, null, null, null, null);
                    return new HttpProtocolNegotiator(session, null);
                },
                reactorConfig(),
                session -> new WatchedSession(session, mConnections::peerClosed),
                onError,
                mConnections,
                null,
                null,
                mSettings.host());
    }

    private ServerH2StreamMultiplexerFactory http2(
            HandlerFactory<AsyncServerExchangeHandler> exchanges) {
        return new ServerH2StreamMultiplexerFactory(
                mHttp2Rules, exchanges, http2Config(), CharCodingConfig.DEFAULT, null);
    }

    private IOReactorConfig reactorConfig() {
        return IOReactorConfig.custom()
                .setIoThreadCount(mSettings.ioThreads())
                .setTcpNoDelay(true)
                .setSoKeepAlive(true)
                .setSoReuseAddress(true)
                .setBacklogSize(MOST_UNACCEPTED)
                .build();
    }

    private Http1Config http1Config() {
        return Http1Config.custom()
                .setMaxLineLength(2 * mSettings.maxLineBytes())
                .setMaxHeaderCount(2 * mSettings.maxHeaderCount())
                .build();
    }

    private H2Config http2Config() {
        return H2Config.custom()
                .setPushEnabled(false)
                .setMaxConcurrentStreams(MAX_CONCURRENT_STREAMS)
                .setMaxHeaderListSize(2 * mSettings.maxLineBytes())
                .build();
    }

    private void listen()
            throws InterruptedException, ExecutionException, java.util.concurrent.TimeoutException {
        mServer.start();
        URIScheme scheme = mSettings.tls().isPresent() ? URIScheme.HTTPS : URIScheme.HTTP;
        InetSocketAddress wanted = new InetSocketAddress(mSettings.host(), mSettings.port());
        mAddress =
                (InetSocketAddress)
                        mServer.listen(wanted, scheme)
                                .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                .getAddress();
        long sweepNanos = mSettings.idleTimeout().toNanos() / SWEEPS_PER_TIMEOUT;
        var unused =
                mSweeper.scheduleWithFixedDelay(
                        this::closeIdle, sweepNanos, sweepNanos, TimeUnit.NANOSECONDS);
    }

    private void closeIdle() {
        long now = mSettings.clock().monotonicTime();
        long limit = mSettings.idleTimeout().toNanos();
        Set<OpenConnections.Connection> arriving = mArriving.cutOffLate(limit, now);
        mConnections.forEach(
                connection -> {
                    if (!arriving.contains(connection) && connection.isIdleFor(limit, now)) {
                        mIdleClosed.increment();
                        connection.close();
                    }
                });
    }
}
