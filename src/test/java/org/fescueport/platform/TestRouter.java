package org.fescueport.platform;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.placement.SharedReplicas;
import org.fescueport.internal.direct.DirectRouter;
import org.fescueport.internal.direct.DirectRouterSettings;
import org.fescueport.internal.direct.MachineLimits;
import org.fescueport.internal.direct.MetersText;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.state.EraTracker;

/** A router in this process that speaks with stand-ins on loopback. */
final class TestRouter implements AutoCloseable {
    /** So that a router that has just started may retry. */
    private static final double AMPLE_RETRIES = 100_000;

    private static final int LOG_LINES_PER_SECOND = 1_000;
    static final int MAX_CALLERS = 20;
    static final int MAX_BODY_BYTES = 300_000;
    static final long MAX_HEAD_BYTES = 4_194_304;

    /** Without a quiet period, an event loop may end without closing its listening sockets. */
    private static final int QUIET_MS = 10;

    private static final int STOP_LIMIT_MS = 1_000;
    private static final Duration LEAVE_BOUND = Duration.ofSeconds(2);
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final Duration STOP_TIME = Duration.ofSeconds(8);

    private final DirectRouter mRouter;
    private final DirectRouterSettings mSettings;
    private final MultiThreadIoEventLoopGroup mLoop;
    private final EventLog mLog;
    private final ByteArrayOutputStream mLines;
    private final SimpleMeterRegistry mRegistry;

    private TestRouter(
            DirectRouter router,
            DirectRouterSettings settings,
            MultiThreadIoEventLoopGroup loop,
            EventLog log,
            ByteArrayOutputStream lines,
            SimpleMeterRegistry registry) {
        mRouter = router;
        mSettings = settings;
        mLoop = loop;
        mLog = log;
        mLines = lines;
        mRegistry = registry;
    }

    /** Starts a router; it may not be ready yet. */
    static TestRouter start(String node, InetSocketAddress store, InetSocketAddress... seeds)
            throws IOException {
        return start(newSettings(node, seeds), store, Clock.SYSTEM);
    }

    /** Starts a router that goes by this clock. */
    static TestRouter start(String node, InetSocketAddress store, Clock clock) throws IOException {
        return start(newSettings(node), store, clock);
    }

    /** Starts a router that grants its callers these limits. */
    static TestRouter start(String node, InetSocketAddress store, MachineLimits limits)
            throws IOException {
        return start(newSettings(node, limits), store, Clock.SYSTEM);
    }

    /** Starts a router of the same name at the same addresses. */
    TestRouter startAgain(InetSocketAddress store) throws IOException {
        return start(mSettings, store, Clock.SYSTEM);
    }

    private static TestRouter start(
            DirectRouterSettings settings, InetSocketAddress store, Clock clock)
            throws IOException {
        var lines = new ByteArrayOutputStream();
        var loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        var log = EventLog.start(lines, clock, settings.node(), LOG_LINES_PER_SECOND);
        var eras = EraTracker.create(clock, log);
        var registry = new SimpleMeterRegistry();
        var parts =
                new DirectRouter.Parts(
                        loop,
                        clock,
                        log,
                        LogStore.at(store, loop, eras),
                        eras,
                        new RecordDecoder(),
                        new HeaderProtocol(),
                        registry,
                        () -> MetersText.of(registry),
                        Mechanisms.all());
        var router = DirectRouter.create(settings, parts);
        router.start();
        return new TestRouter(router, settings, loop, log, lines, registry);
    }

    private static DirectRouterSettings newSettings(String node, InetSocketAddress... seeds)
            throws IOException {
        return newSettings(
                node, new MachineLimits(MAX_CALLERS, MAX_BODY_BYTES, MAX_HEAD_BYTES), seeds);
    }

    private static DirectRouterSettings newSettings(
            String node, MachineLimits limits, InetSocketAddress... seeds) throws IOException {
        return new DirectRouterSettings(
                node,
                FailureDomain.of("north"),
                FreePorts.next(),
                FreePorts.next(),
                FreePorts.next(),
                List.of(seeds),
                Optional.empty(),
                "/api/readyz",
                "/metrics",
                0.2,
                AMPLE_RETRIES,
                Duration.ofSeconds(10),
                LEAVE_BOUND,
                HEARTBEAT,
                PlatformSettings.LOAD_BALANCER,
                STOP_TIME,
                limits,
                SharedReplicas.BY_REPORTS);
    }

    /** Waits until the router wants callers. */
    TestRouter awaitReady() {
        Await.until("the router is ready", mRouter::isReady);
        return this;
    }

    /** Returns whether another node reads the store for this one. */
    boolean reliesOnPeer() {
        String text = lines();
        return text.lastIndexOf("relying-on-peer") > text.lastIndexOf("reading-store");
    }

    /** Returns how many other nodes get their records from this one directly. */
    int peerConnections() {
        return mRouter.peerConnections();
    }

    boolean isReady() {
        return mRouter.isReady();
    }

    InetSocketAddress callers() {
        return mSettings.callers();
    }

    InetSocketAddress admin() {
        return mSettings.admin();
    }

    InetSocketAddress peers() {
        return mSettings.peers();
    }

    String lines() {
        return mLines.toString(StandardCharsets.UTF_8);
    }

    /** Returns the present value of a gauge or counter of the router. */
    double meter(String name) {
        return mRegistry.get(name).meter().measure().iterator().next().getValue();
    }

    /** Lets the router do nothing for this long, as when its machine has no processor for it. */
    void stall(Duration time) {
        mLoop.execute(() -> Await.pause(time.toMillis()));
    }

    CompletableFuture<Void> stop() {
        return mRouter.stop();
    }

    /** Ends at once, as when the process is killed; its addresses are free afterwards. */
    @Override
    public void close() {
        mLoop.shutdownGracefully(QUIET_MS, STOP_LIMIT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
        mLog.close();
    }
}
