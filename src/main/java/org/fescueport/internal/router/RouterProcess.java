package org.fescueport.internal.router;

import io.micrometer.core.instrument.Clock;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.fescueport.internal.admin.AdminNode;
import org.fescueport.internal.admin.AdminRoutes;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Placement;
import org.fescueport.internal.decision.retry.RetryBudget;
import org.fescueport.internal.decision.retry.RetryPolicy;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.ConfigSources;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.http.AsyncHttpCaller;
import org.fescueport.internal.http.HttpCallerSettings;
import org.fescueport.internal.http.HttpServer;
import org.fescueport.internal.http.HttpServerSettings;
import org.fescueport.internal.http.Routes;
import org.fescueport.internal.log.config.ConfigFollower;
import org.fescueport.internal.log.config.FollowerSettings;
import org.fescueport.internal.port.HttpLogService;
import org.fescueport.internal.port.HttpVmList;
import org.fescueport.internal.security.NodeTls;
import org.fescueport.internal.security.TokenKeys;
import org.fescueport.internal.settings.ProgramCommand;
import org.fescueport.internal.supervision.RestartPolicy;
import org.fescueport.internal.supervision.Supervisor;
import org.fescueport.internal.supervision.Worker;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.FrameTransport;

/** A running router: makes its parts, supervises them, and stops them in order. */
final class RouterProcess implements ProgramCommand.Running, AdminNode {
    private static final int WIRE_THREADS = 2;
    private static final int HTTP_THREADS = 3;
    private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);
    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(10);

    /** Time for the balancer to see the failing health check before connections are closed. */
    private static final Duration BALANCER_NOTICE = Duration.ofMillis(1500);

    /** Retries for each request, and those that may be saved up. */
    private static final double RETRY_SHARE = 0.2;

    private static final double MAX_RETRY_TOKENS = 100;

    private static final Duration DRAIN_POLL = Duration.ofMillis(20);

    private final RouterSettings mSettings;
    private final Clock mClock = Clock.SYSTEM;
    private final long mIncarnation = new SecureRandom().nextLong() >>> 1;
    private final ScheduledThreadPoolExecutor mTimers = new ScheduledThreadPoolExecutor(2);
    private final Telemetry mTelemetry;
    private final AsyncHttpCaller mHttpCaller;
    private final TokenKeys mTokenKeys;
    private final NodeTls mTls;
    private final FrameTransport mTransport;
    private final Membership mMembership;
    private final ConfigFollower mConfig;
    private final ConfigSources mSources;
    private final AgentConnections mConnections;
    private final CallerApi mApi;
    private final Supervisor mRoot;
    private final AtomicReference<String> mLeaving = new AtomicReference<>("");
    private HttpServer mCallerServer;
    private HttpServer mAdminServer;

    private RouterProcess(RouterSettings settings) {
        mSettings = settings;
        var node = settings.node();
        var self = NodeId.of(node.node());
        mTimers.setRemoveOnCancelPolicy(true);
        mTelemetry = Telemetry.create("fescue-router", node.node(), node.tracesUrl(), mClock);
        mHttpCaller = AsyncHttpCaller.create(HttpCallerSettings.defaults());
        mTokenKeys =
                TokenKeys.create(node.tokenKeysFile(), node.tokenKeys(), mTelemetry.registry());
        mTls = NodeTls.create(node.tls(), settings.callersTls(), mClock, mTelemetry.registry());
        mTransport =
                FrameTransport.create(WIRE_THREADS, mTls::server, mTls::client, mTls::onRefused);
        mMembership =
                Membership.create(
                        HttpVmList.of(mHttpCaller, node.vmsUrl().toString(), PLATFORM_TIMEOUT),
                        mClock,
                        mTelemetry);
        mSources = ConfigSources.create(mMembership, self);
        mConfig =
                ConfigFollower.create(
                        HttpLogService.of(mHttpCaller, node.logUrl().toString(), PLATFORM_TIMEOUT),
                        mSources,
                        mTimers,
                        mClock,
                        mTelemetry.registry(),
                        FollowerSettings.DEFAULT,
                        mIncarnation);
        mConnections =
                AgentConnections.create(
                        mTransport,
                        self,
                        mIncarnation,
                        mConfig::version,
                        mMembership,
                        (link, version) -> mSources.onVersion(link, version, mConfig),
                        mClock,
                        mTelemetry);
        mSources.use(mConnections);
        mConfig.addListener(mTokenKeys::use);
        mApi = CallerApi.create(mConfig::declarations, context());
        mRoot = supervisor();
    }

    static RouterProcess start(RouterSettings settings, Runnable onGaveUp) throws Exception {
        var process = new RouterProcess(settings);
        process.mRoot.start(cause -> onGaveUp.run());
        settings.node().announce(process.mCallerServer.port(), process.mAdminServer.port());
        return process;
    }

    @Override
    public void stop() {
        drain("signal");
        await(BALANCER_NOTICE);
        mCallerServer.drain(Duration.ofSeconds(mSettings.drainSeconds()));
        long end = mClock.monotonicTime() + TimeUnit.SECONDS.toNanos(mSettings.drainSeconds());
        while (mApi.active() > 0 && mClock.monotonicTime() - end < 0) {
            await(DRAIN_POLL);
        }
        mRoot.stop();
        mTimers.shutdownNow();
        mTransport.close();
        mHttpCaller.close();
        mTelemetry.close();
    }

    @Override
    public Status status() {
        return new Status(
                mSettings.node().node(),
                Long.toHexString(mIncarnation),
                mConfig.version(),
                mConfig.ageMillis(),
                !mLeaving.get().isEmpty(),
                mApi.active());
    }

    @Override
    public String whyNotReady() {
        if (!mLeaving.get().isEmpty()) {
            return "leaving: " + mLeaving.get();
        }
        if (!mMembership.isReady()) {
            return "the list of VMs was not read yet";
        }
        if (mConfig.version() == 0) {
            return "no configuration is in force yet";
        }
        if (mMembership.all(1).isEmpty()) {
            return "the list of VMs has no live agent";
        }
        return mConfig.isCurrent() ? "" : "cannot tell whether the configuration is current";
    }

    @Override
    public String tree() {
        return mRoot.tree();
    }

    @Override
    public void drain(String why) {
        mLeaving.compareAndSet("", why);
    }

    private RouterContext context() {
        var budget = RetryBudget.create(RETRY_SHARE, MAX_RETRY_TOKENS);
        return new RouterContext(
                mConnections,
                mMembership,
                Placement.create(FailureDomain.of(mSettings.node().failureDomain())),
                RouterTokens.of(mTokenKeys.tokens(), mClock),
                PoolHealth.create(),
                budget,
                RetryPolicy.create(budget, new SecureRandom()),
                RouterCounters.of(mTelemetry),
                mTelemetry,
                mTimers,
                mClock);
    }

    private Supervisor supervisor() {
        ScheduledExecutorService timers = mTimers;
        var platform =
                Supervisor.of("platform", RestartPolicy.standard(), timers, mClock)
                        .add(Worker.of("config", onFailure -> startConfig()))
                        .add(
                                Worker.periodic(
                                        "vm-list", VM_LIST_INTERVAL, timers, mMembership::refresh));
        return Supervisor.of("router", RestartPolicy.standard(), timers, mClock)
                .add(platform)
                .add(
                        Worker.periodic(
                                "idle-connections",
                                IDLE_CHECK_INTERVAL,
                                timers,
                                mConnections::closeIdle))
                .add(Worker.periodic("probes", PROBE_INTERVAL, timers, mConnections::probe))
                .add(
                        Worker.periodic(
                                "token-keys", NodeTls.LOOK_INTERVAL, mTimers, mTokenKeys::look))
                .add(Worker.periodic("tls-files", NodeTls.LOOK_INTERVAL, mTimers, mTls::look))
                .add(Worker.of("admin", onFailure -> startAdmin()))
                .add(Worker.of("callers", onFailure -> startCallers()));
    }

    private Runnable startConfig() {
        mConfig.start();
        return mConfig::close;
    }

    private Runnable startAdmin() {
        var address = mSettings.node().adminListen();
        var routes = AdminRoutes.addChecks(Routes.of(), this, mTelemetry);
        mAdminServer =
                HttpServer.start(
                        HttpServerSettings.of(address.getHostString(), address.getPort())
                                .withIoThreads(1),
                        AdminRoutes.addOperations(routes, this));
        return mAdminServer::close;
    }

    private Runnable startCallers() {
        var address = mSettings.node().listen();
        var routes = AdminRoutes.addChecks(Routes.of(), this, mTelemetry);
        var plain =
                HttpServerSettings.of(address.getHostString(), address.getPort())
                        .withMaxBodyBytes(mSettings.maxBodyBytes())
                        .withIoThreads(HTTP_THREADS)
                        .withMeters(mTelemetry.registry());
        var settings = mTls.callers().map(plain::withTls).orElse(plain);
        mCallerServer = HttpServer.start(settings, mApi.addTo(routes));
        return mCallerServer::close;
    }

    private void await(Duration time) {
        var latch = new CountDownLatch(1);
        try {
            latch.await(time.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
