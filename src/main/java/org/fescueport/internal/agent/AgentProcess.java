package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.admin.AdminNode;
import org.fescueport.internal.admin.AdminRoutes;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.lease.LeaseHolder;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.ConfigSources;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.http.AsyncHttpCaller;
import org.fescueport.internal.http.HttpCallerSettings;
import org.fescueport.internal.http.HttpServer;
import org.fescueport.internal.http.HttpServerSettings;
import org.fescueport.internal.http.Routes;
import org.fescueport.internal.log.claim.ClaimDecider;
import org.fescueport.internal.log.claim.ClaimSettings;
import org.fescueport.internal.log.config.ConfigFollower;
import org.fescueport.internal.log.config.FollowerSettings;
import org.fescueport.internal.log.config.SnapshotDuty;
import org.fescueport.internal.log.lease.LeaseKeeper;
import org.fescueport.internal.port.HttpEngine;
import org.fescueport.internal.port.HttpLogService;
import org.fescueport.internal.port.HttpPlainService;
import org.fescueport.internal.port.HttpVmList;
import org.fescueport.internal.security.NodeTls;
import org.fescueport.internal.security.TokenKeys;
import org.fescueport.internal.settings.ProgramCommand;
import org.fescueport.internal.supervision.RestartPolicy;
import org.fescueport.internal.supervision.Supervisor;
import org.fescueport.internal.supervision.Worker;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.FrameTransport;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.port.LogService;

/** A running agent: makes its parts, supervises them, and stops them in order. */
final class AgentProcess implements ProgramCommand.Running, AdminNode {
    private static final int WIRE_THREADS = 1;
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration BACKEND_CHECK_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration BACKEND_ANSWER_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(2);
    private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(250);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);
    private static final Duration HEALTH_INTERVAL = Duration.ofSeconds(1);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(40);
    private static final Duration DRAIN_POLL = Duration.ofMillis(20);

    private final AgentSettings mSettings;
    private final Clock mClock = Clock.SYSTEM;
    private final long mIncarnation = new SecureRandom().nextLong() >>> 1;
    private final ScheduledThreadPoolExecutor mLoop = new ScheduledThreadPoolExecutor(1);
    private final ScheduledThreadPoolExecutor mTimers = new ScheduledThreadPoolExecutor(1);
    private final Telemetry mTelemetry;
    private final AsyncHttpCaller mHttpCaller;
    private final TokenKeys mTokenKeys;
    private final NodeTls mTls;
    private final FrameTransport mTransport;
    private final Backend mBackend;
    private final ConfigFollower mConfig;
    private final LogService mLog;
    private final AgentCore mCore;
    private final Membership mMembership;
    private final AgentConnections mConnections;
    private final ConfigSources mSources;
    private final ClaimDecider mDecider;
    private final MeanGossip mGossip;
    private final AgentParts mParts;
    private final Optional<ReplicaStatus> mReplica;
    private final Supervisor mRoot;
    private volatile SharedDuties mDuties;
    private volatile boolean mIsLeaving;
    private volatile int mActive;
    private volatile boolean mIsBackendUp;
    private InetSocketAddress mAddress;
    private HttpServer mAdminServer;
    private CacheHandover mHandover;

    private AgentProcess(AgentSettings settings) {
        mSettings = settings;
        var node = settings.node();
        mLoop.setRemoveOnCancelPolicy(true);
        mTelemetry = Telemetry.create("fescue-agent", node.node(), node.tracesUrl(), mClock);
        mHttpCaller = AsyncHttpCaller.create(HttpCallerSettings.defaults());
        mTokenKeys =
                TokenKeys.create(node.tokenKeysFile(), node.tokenKeys(), mTelemetry.registry());
        mTls = NodeTls.create(node.tls(), Optional.empty(), mClock, mTelemetry.registry());
        mTransport =
                FrameTransport.create(WIRE_THREADS, mTls::server, mTls::client, mTls::onRefused);
        mBackend = backend();
        mLog = HttpLogService.of(mHttpCaller, node.logUrl().toString(), PLATFORM_TIMEOUT);
        var list = HttpVmList.of(mHttpCaller, node.vmsUrl().toString(), PLATFORM_TIMEOUT);
        mMembership = Membership.create(list, mClock, mTelemetry);
        mSources = ConfigSources.create(mMembership, NodeId.of(node.node()));
        mConfig =
                ConfigFollower.create(
                        mLog,
                        mSources,
                        mTimers,
                        mClock,
                        mTelemetry.registry(),
                        FollowerSettings.DEFAULT,
                        mIncarnation);
        mConfig.addListener(mTokenKeys::use);
        mConnections = connections();
        mSources.use(mConnections);
        mDecider =
                ClaimDecider.create(
                        mLog, mClock, mTimers, ClaimSettings.standard(), mTelemetry.registry());
        mCore =
                AgentCore.create(
                        new AgentCore.Identity(node.node(), mIncarnation, node.failureDomain()),
                        mBackend,
                        settings.inFlight(),
                        settings.queue(),
                        mLoop,
                        mClock,
                        mTelemetry);
        mGossip =
                MeanGossip.create(
                        NodeId.of(node.node()),
                        PoolId.of(settings.pool()),
                        mMembership,
                        mConnections,
                        mLoop,
                        () -> mCore.load().getOutstandingTokens(),
                        mCore::onMean);
        mParts = parts();
        mReplica = replicaStatus();
        mRoot = supervisor();
    }

    static AgentProcess start(AgentSettings settings, Runnable onGaveUp) throws Exception {
        var process = new AgentProcess(settings);
        process.mRoot.start(cause -> onGaveUp.run());
        settings.node().announce(process.mAddress.getPort(), process.mAdminServer.port());
        return process;
    }

    @Override
    public void stop() {
        drain("signal");
        long end = mClock.monotonicTime() + TimeUnit.SECONDS.toNanos(mSettings.drainSeconds());
        do {
            await(DRAIN_POLL);
        } while ((mActive > 0 || isHandingOver()) && mClock.monotonicTime() - end < 0);
        mRoot.stop();
        mTransport.close();
        mLoop.shutdownNow();
        mTimers.shutdownNow();
        mHttpCaller.close();
        mTelemetry.close();
    }

    private boolean isHandingOver() {
        return mHandover != null && !mHandover.isDone();
    }

    @Override
    public Status status() {
        return new Status(
                mSettings.node().node(),
                Long.toHexString(mIncarnation),
                mConfig.version(),
                mConfig.ageMillis(),
                mIsLeaving,
                mActive);
    }

    @Override
    public String whyNotReady() {
        if (mIsLeaving) {
            return "leaving";
        }
        return mIsBackendUp ? "" : "the backend server does not answer its health check";
    }

    @Override
    public String tree() {
        return mRoot.tree();
    }

    @Override
    public void drain(String why) {
        mIsLeaving = true;
        mLoop.execute(() -> mCore.leave(why));
    }

    private Backend backend() {
        var url = mSettings.backendUrl().toString();
        return switch (mSettings.backendKind()) {
            case MODEL ->
                    new Backend.Model(
                            HttpEngine.of(
                                    mHttpCaller,
                                    url,
                                    BACKEND_CHECK_TIMEOUT,
                                    BACKEND_ANSWER_TIMEOUT));
            case SERVICE ->
                    new Backend.Service(
                            HttpPlainService.of(mHttpCaller, url, BACKEND_CHECK_TIMEOUT));
        };
    }

    private AgentParts parts() {
        return new AgentParts(
                mSettings,
                mIncarnation,
                mMembership,
                mConnections,
                mConfig,
                mDecider,
                mTokenKeys,
                mLog,
                mLoop,
                mTimers,
                mClock,
                mTelemetry);
    }

    private AgentConnections connections() {
        return AgentConnections.create(
                mTransport,
                NodeId.of(mSettings.node().node()),
                mIncarnation,
                mConfig::version,
                mMembership,
                (link, version) -> mSources.onVersion(link, version, mConfig),
                mClock,
                mTelemetry);
    }

    private void onDeclarations(Declarations declarations) {
        var pool = PoolId.of(mSettings.pool());
        declarations
                .loadBoundOf(pool)
                .ifPresent(bound -> mLoop.execute(() -> mCore.onLoadBound(bound)));
    }

    private Supervisor supervisor() {
        return Supervisor.of("agent", RestartPolicy.standard(), mTimers, mClock)
                .add(Worker.of("config", onFailure -> startConfig()))
                .add(Worker.periodic("health", HEALTH_INTERVAL, mTimers, this::checkHealth))
                .add(Worker.periodic("sweep", SWEEP_INTERVAL, mLoop, this::sweep))
                .add(Worker.periodic("vm-list", VM_LIST_INTERVAL, mTimers, mMembership::refresh))
                .add(Worker.periodic("mean", GOSSIP_INTERVAL, mLoop, mGossip::round))
                .add(Worker.periodic("probes", PROBE_INTERVAL, mTimers, mConnections::probe))
                .add(
                        Worker.periodic(
                                "token-keys", NodeTls.LOOK_INTERVAL, mTimers, mTokenKeys::look))
                .add(Worker.periodic("tls-files", NodeTls.LOOK_INTERVAL, mTimers, mTls::look))
                .add(Worker.of("duties", onFailure -> startDuties()))
                .add(Worker.periodic("placement", HEALTH_INTERVAL, mTimers, this::placeModels))
                .add(Worker.periodic("replica", HEALTH_INTERVAL, mTimers, this::refreshReplica))
                .add(Worker.of("admin", onFailure -> startAdmin()))
                .add(Worker.of("frames", onFailure -> startFrames()));
    }

    private Runnable startConfig() {
        mConfig.start();
        return mConfig::close;
    }

    private Runnable startDuties() {
        var self = NodeId.of(mSettings.node().node());
        long retentionMillis = TimeUnit.SECONDS.toMillis(mSettings.logRetentionSeconds());
        var keeper =
                LeaseKeeper.create(
                        mLog,
                        LeaseHolder.of(self, mIncarnation),
                        mTimers,
                        mClock,
                        mTelemetry.registry(),
                        LeaseKeeper.Settings.of(retentionMillis));
        var snapshots = SnapshotDuty.start(keeper, mLog, mConfig, mTimers, mClock, retentionMillis);
        var placement = placementParts().duty(keeper);
        mDuties = SharedDuties.start(self, mMembership, keeper, snapshots, placement, mTimers);
        return mDuties::close;
    }

    /** Only engines of a fleet that places models are set aside and report what they serve. */
    private Optional<ReplicaStatus> replicaStatus() {
        return mBackend instanceof Backend.Model model && mSettings.weightsUrl().isPresent()
                ? Optional.of(ReplicaStatus.create(model.engine(), mClock, this::onServing))
                : Optional.empty();
    }

    private PlacementParts placementParts() {
        return new PlacementParts(
                mSettings,
                mHttpCaller,
                mLog,
                mConfig,
                mMembership,
                mConnections,
                mTimers,
                mClock,
                mTelemetry);
    }

    private void takeOrders(AgentCalls calls, Backend.Model model, ReplicaStatus status) {
        calls.use(
                placementParts()
                        .orders(
                                model.engine(),
                                status,
                                () -> CompletableFuture.supplyAsync(mCore::active, mLoop)));
    }

    private void onServing() {
        mLoop.execute(() -> mCore.onServing(hello()));
    }

    private void checkHealth() {
        mBackend.checkHealth()
                .whenComplete(
                        (ok, failure) -> {
                            mIsBackendUp = failure == null;
                            mLoop.execute(() -> mCore.onHealth(failure == null));
                        });
    }

    private void placeModels() {
        mDuties.placeModels();
    }

    private void refreshReplica() {
        mReplica.ifPresent(ReplicaStatus::refresh);
    }

    private void sweep() {
        mCore.sweep();
        mActive = mCore.active();
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

    private Runnable startFrames() {
        var calls = AgentCalls.create(mConfig, mGossip, mDecider, mLoop);
        var server = AgentServer.of(mCore, mLoop, calls, this::hello);
        mAddress = mTransport.listen(mSettings.node().listen(), server);
        var keyed = mParts.keyedRuns(mAddress);
        var guard = mParts.poisonGuard(mCore::cancelSuspects);
        calls.use(keyed, guard);
        mCore.use(keyed, guard);
        if (mBackend instanceof Backend.Model model) {
            var cacheImport = mParts.cacheImport(model);
            calls.use(cacheImport);
            mCore.use(cacheImport);
            mHandover = mParts.cacheHandover(model);
            mCore.use(mHandover, mSettings.drainSeconds());
            mReplica.ifPresent(status -> takeOrders(calls, model, status));
            onServing();
        }
        mConfig.addListener(this::onDeclarations);
        return () -> {
            // The transport closes its connections itself.
        };
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setNode(mSettings.node().node())
                .setIncarnation(mIncarnation)
                .setFailureDomain(mSettings.node().failureDomain())
                .setConfigVersion(mConfig.version())
                .setLeaving(mIsLeaving)
                .setLoad(mCore.load())
                .setServesNothing(mReplica.map(status -> !status.isServing()).orElse(false))
                .build();
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
