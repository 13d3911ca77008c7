package org.fescueport.internal.direct;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.admission.ResponseTimes;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.placement.ColdReplicaLimiter;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaNotices;
import org.fescueport.internal.decision.placement.ReplicaPace;
import org.fescueport.internal.decision.placement.ReplicaSpeeds;
import org.fescueport.internal.direct.forward.AdmissionControl;
import org.fescueport.internal.direct.forward.AdmissionMetrics;
import org.fescueport.internal.direct.forward.CallerQuota;
import org.fescueport.internal.direct.forward.CrashCheck;
import org.fescueport.internal.direct.forward.Forwarder;
import org.fescueport.internal.direct.forward.ForwardingContext;
import org.fescueport.internal.direct.forward.ForwardingMetrics;
import org.fescueport.internal.direct.forward.ReplicaConnectionPools;
import org.fescueport.internal.direct.forward.SlowReaderBudget;
import org.fescueport.internal.direct.forward.WireProtocol;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.peer.PeerGroup;
import org.fescueport.internal.direct.peer.StrikeCodec;
import org.fescueport.internal.direct.place.CrashingRequestDetector;
import org.fescueport.internal.direct.place.PaceReports;
import org.fescueport.internal.direct.place.ReplicaChooser;
import org.fescueport.internal.direct.place.ReplicaLiveness;
import org.fescueport.internal.direct.place.RetryBudgets;
import org.fescueport.internal.direct.place.RetryYields;
import org.fescueport.internal.direct.state.EraMetrics;
import org.fescueport.internal.direct.state.EraTracker;
import org.fescueport.internal.direct.state.FleetView;
import org.fescueport.internal.direct.state.NodeRegistrar;
import org.fescueport.internal.direct.state.RecordBatch;
import org.fescueport.internal.direct.state.StateDecoder;
import org.fescueport.internal.direct.state.StateReader;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateStore;
import org.fescueport.internal.direct.state.ViewMetrics;
import org.fescueport.internal.wire.generated.PeerStrike;

/**
 * A router that reaches replicas without an agent: one process, one event loop.
 *
 * <pre>{@code
 * var router = DirectRouter.create(settings, parts);
 * router.start();
 * router.stop().thenRun(() -> exit());
 * }</pre>
 */
public final class DirectRouter {
    private static final int BACKLOG = 512;
    private static final int MAX_ADMIN_BODY = 4_096;
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

    /**
     * Delay of a tick, or time for which the steady clock stood still, after which the view counts
     * as outdated.
     */
    private static final Duration MAX_CLOCK_GAP = Duration.ofMillis(1_200);

    /** Longest wait of a starting node for its peers' configuration; all of them may be lost. */
    private static final Duration MAX_CATCH_UP_TIME = Duration.ofMillis(1_500);

    /** Assumed number of nodes that share the retry allowance until the number is known. */
    private static final int NODES_WHILE_UNKNOWN = 8;

    /**
     * The parts that a router is built from.
     *
     * @param eras tracks the store's era as reported by the store and by peers
     * @param counters returns the text of all meters of the registry
     * @param mechanisms the enabled ones; all of them except in experiments
     */
    public record Parts(
            EventLoopGroup loop,
            Clock clock,
            EventLog log,
            StateStore store,
            EraTracker eras,
            StateDecoder decoder,
            WireProtocol protocol,
            MeterRegistry registry,
            Supplier<String> counters,
            Mechanisms mechanisms) {}

    private DirectRouterSettings mSettings;
    private final RetryBudgets mBudgets;
    private final AdmissionControl mAdmissionControl;
    private final ColdReplicaLimiter mColdReplicaLimiter;
    private final Parts mParts;
    private final FleetView mView;
    private final StateReader mReader;
    private final PeerGroup mPeers;
    private final NodeRegistrar mNodeRegistrar;
    private final SplittableRandom mRandom;
    private final Forwarder mForwarder;
    private final ReplicaConnectionPools mConnectionPools;
    private final GracefulShutdown mShutdown;
    private final CompletableFuture<Void> mStopped;
    private Channel mListener;
    private long mStartedNanos;
    private boolean mCaughtUp;
    private long mLastCheckNanos;
    private long mWallMinusSteadyMillis;

    private DirectRouter(DirectRouterSettings settings, Parts parts) {
        mSettings = settings;
        mParts = parts;
        mView = newView(settings, parts);
        mPeers = newPeers();
        mReader = newReader();
        mRandom = new SplittableRandom(settings.node().hashCode());
        mNodeRegistrar = newNodeRegistrar();
        parts.eras().listen(this::onNewEra);
        EraMetrics.register(parts.registry(), parts.eras());
        ViewMetrics.register(parts.registry(), mView);
        mConnectionPools =
                ReplicaConnectionPools.create(
                        parts.loop(), parts.protocol(), parts.clock(), mRandom);
        mColdReplicaLimiter = ColdReplicaLimiter.create(mRandom);
        var loads = ReplicaLoads.create();
        var speeds = ReplicaSpeeds.create(settings.sharedReplicas());
        var notices = ReplicaNotices.create();
        var chooser = newChooser(loads, speeds, notices);
        var health = ReplicaLiveness.create();
        mView.listen(() -> onReplicasChanged(chooser, loads, speeds, health));
        mAdmissionControl = newAdmissionControl(loads, speeds);
        mBudgets = newBudgets();
        var crashes = CrashingRequestDetector.create(mRandom);
        crashes.onNodes(NODES_WHILE_UNKNOWN);
        crashes.listen(new CrashReports(parts.log(), mPeers.reports()));
        mPeers.listen(new PeerListener(chooser, crashes, loads));
        var context =
                new ForwardingContext(
                        parts.clock(),
                        mView,
                        parts.protocol(),
                        mConnectionPools,
                        chooser,
                        loads,
                        speeds,
                        notices,
                        health,
                        mAdmissionControl,
                        mBudgets,
                        RetryYields.create(),
                        crashes,
                        CrashCheck.of(mConnectionPools, crashes),
                        newQuota(settings.limits()),
                        SlowReaderBudget.of(settings.limits().unreadBytes(), parts.registry()),
                        ForwardingMetrics.create(parts.registry()),
                        ResponseTimes.create(),
                        parts.log(),
                        parts.mechanisms(),
                        mRandom);
        mForwarder = Forwarder.create(context);
        mShutdown = new GracefulShutdown(mForwarder, parts.clock(), parts.log());
        mStopped = mShutdown.finished().thenRun(() -> guarded("stop", this::close));
    }

    private static CallerQuota newQuota(MachineLimits limits) {
        return CallerQuota.of(limits.callers(), limits.bodyBytes(), limits.headBytes());
    }

    private void onReplicasChanged(
            ReplicaChooser chooser,
            ReplicaLoads loads,
            ReplicaSpeeds speeds,
            ReplicaLiveness health) {
        var present = mView.replicaIds();
        chooser.onReplicasChanged();
        loads.retain(present);
        speeds.retain(present);
        health.retain(present);
    }

    private ReplicaChooser newChooser(
            ReplicaLoads loads, ReplicaSpeeds speeds, ReplicaNotices notices) {
        var pace = ReplicaPace.create(loads, mRandom);
        pace.listen(PaceReports.create(mParts.registry(), mParts.log(), pace));
        var chooser =
                ReplicaChooser.create(
                        mView,
                        loads,
                        notices,
                        mColdReplicaLimiter,
                        pace,
                        speeds,
                        mParts.mechanisms());
        var registry = mParts.registry();
        registry.gauge("fescue.replicas.slow", speeds, ReplicaSpeeds::slowReplicas);
        registry.gauge("fescue.share.ejections", chooser, ReplicaChooser::shareEjections);
        chooser.listen(new ChooserReports());
        return chooser;
    }

    private AdmissionControl newAdmissionControl(ReplicaLoads loads, ReplicaSpeeds speeds) {
        return AdmissionControl.create(
                mView,
                loads,
                speeds,
                mPeers.demand(),
                AdmissionMetrics.create(mParts.registry()),
                mParts.mechanisms());
    }

    private RetryBudgets newBudgets() {
        return RetryBudgets.create(
                mSettings.retryShare(),
                mSettings.retryAllowance(),
                mSettings.retryWindow(),
                NODES_WHILE_UNKNOWN,
                mParts.clock());
    }

    private PeerGroup newPeers() {
        return PeerGroup.create(
                mSettings.node(),
                mSettings.domain(),
                mView,
                mParts.eras(),
                mParts.loop(),
                mParts.clock(),
                mParts.log());
    }

    private StateReader newReader() {
        return StateReader.create(
                mParts.store(),
                mParts.eras(),
                mView,
                new StoreListener(),
                mParts.loop(),
                mParts.clock(),
                mParts.log());
    }

    private NodeRegistrar newNodeRegistrar() {
        return NodeRegistrar.create(
                mParts.store(),
                mParts.decoder(),
                mParts.loop(),
                mParts.log(),
                mRandom,
                mSettings.node(),
                mSettings.peers(),
                mSettings.domain(),
                mPeers::onMembers);
    }

    /** Returns a router that has not been started. */
    public static DirectRouter create(DirectRouterSettings settings, Parts parts) {
        return new DirectRouter(settings, parts);
    }

    /**
     * Listens and begins to read the shared state; returns once all addresses are bound.
     *
     * @throws java.io.IOException when an address cannot be bound; the message names it
     */
    public void start() throws java.io.IOException {
        mListener = bind(mSettings.callers(), mForwarder.initializer());
        bind(mSettings.admin(), adminInitializer());
        bind(mSettings.peers(), mPeers.initializer());
        if (mSettings.metrics().isPresent()) {
            bind(mSettings.metrics().get(), adminInitializer());
        }
        mParts.loop().execute(this::begin);
        mParts.log()
                .change("started")
                .with("callers", mSettings.callers())
                .with("admin", mSettings.admin())
                .with("without", mParts.mechanisms())
                .write();
    }

    /** Begins a graceful shutdown; the future completes when nothing is left to do. */
    public CompletableFuture<Void> stop() {
        long now = mParts.clock().monotonicTime();
        mParts.loop()
                .execute(
                        () -> mShutdown.begin(now, mSettings.loadBalancer(), mSettings.stopTime()));
        return mStopped;
    }

    /** Returns whether this node accepts new connections. */
    public boolean isReady() {
        return !mShutdown.isBegun() && mView.isComplete() && mCaughtUp;
    }

    /** Returns the number of connections to this node that other nodes have opened. */
    public int peerConnections() {
        return mPeers.inboundConnections();
    }

    private static FleetView newView(DirectRouterSettings settings, Parts parts) {
        return FleetView.create(
                parts.decoder(), parts.log(), settings.leaveBound(), settings.heartbeat());
    }

    /**
     * The store may have been restored from a backup, so the node first compares its configuration
     * with that of its peers.
     */
    private void updateCaughtUp() {
        if (!mView.isComplete()) {
            return;
        }
        long waited = mParts.clock().monotonicTime() - mStartedNanos;
        mCaughtUp =
                mCaughtUp
                        || mParts.eras().current() == 0
                        || waited > MAX_CATCH_UP_TIME.toNanos()
                        || mPeers.isCaughtUp();
    }

    private void begin() {
        mStartedNanos = mParts.clock().monotonicTime();
        useSeeds();
        mReader.start();
        mNodeRegistrar.start();
        mLastCheckNanos = mParts.clock().monotonicTime();
        mWallMinusSteadyMillis = wallMinusSteadyMillis();
        every(CHECK_INTERVAL, this::check);
        every(SWEEP_INTERVAL, this::sweep);
    }

    /** The present view stays in use until the list of the new era has been read. */
    private void onNewEra() {
        mView.onNewEra(mParts.clock().monotonicTime());
        mReader.refresh();
        mNodeRegistrar.onNewEra();
    }

    /** Applies changed settings; changed addresses take effect at the next start. */
    public void reload(DirectRouterSettings settings) {
        mParts.loop().execute(() -> use(settings));
    }

    private void use(DirectRouterSettings settings) {
        if (settings.equals(mSettings)) {
            return;
        }
        boolean moved =
                !settings.callers().equals(mSettings.callers())
                        || !settings.admin().equals(mSettings.admin())
                        || !settings.peers().equals(mSettings.peers());
        mSettings = settings;
        mBudgets.onLimits(settings.retryShare(), settings.retryAllowance());
        useSeeds();
        mParts.log().change("settings-reloaded").with("addresses_at_next_start", moved).write();
    }

    private void useSeeds() {
        mPeers.onSeeds(
                mSettings.seeds().stream().filter(s -> !s.equals(mSettings.peers())).toList());
    }

    private void every(Duration interval, Runnable task) {
        long nanos = interval.toNanos();
        mParts.loop()
                .scheduleWithFixedDelay(
                        () -> guarded("timer", task), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    /** Runs a task whose failure must end neither its later runs nor what comes after it. */
    private void guarded(String where, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            mParts.log().change("fault").with("where", where).with("cause", e).write();
        }
    }

    private void check() {
        mReader.setActive(!mPeers.isServed());
        mPeers.reports().flush();
        mForwarder.checkTimeouts();
        mShutdown.check(mListener);
        updateCaughtUp();
    }

    private void sweep() {
        refreshAfterClockGap();
        mPeers.tick(mReader.isStoreReachable());
        mAdmissionControl.updateShares(mParts.clock().monotonicTime());
        mForwarder.sweep();
        mShutdown.finishIfIdle(mListener);
    }

    /** Reads the store again at once after a freeze, as the view may be outdated. */
    private void refreshAfterClockGap() {
        long now = mParts.clock().monotonicTime();
        long offset = wallMinusSteadyMillis();
        boolean late = now - mLastCheckNanos > MAX_CLOCK_GAP.toNanos();
        boolean moved = Math.abs(offset - mWallMinusSteadyMillis) > MAX_CLOCK_GAP.toMillis();
        mLastCheckNanos = now;
        mWallMinusSteadyMillis = offset;
        if (late || moved) {
            mParts.log().change("clock-gap").with("late", late).with("moved", moved).write();
            mReader.refresh();
        }
    }

    private long wallMinusSteadyMillis() {
        return mParts.clock().wallTime() - mParts.clock().monotonicTime() / 1_000_000;
    }

    private void close() {
        mReader.stop();
        mPeers.stop();
        mConnectionPools.closeIdle();
    }

    /** Applies records to the view and passes on those that changed it. */
    private void take(RecordBatch batch, Optional<PeerGroup.PeerOrigin> origin) {
        var news = mView.applyBatch(batch, mParts.clock().monotonicTime());
        mPeers.spread(batch.topic(), news, origin);
    }

    /** Passes what this node observes of replicas on to the other nodes. */
    private final class ChooserReports implements ReplicaChooser.Reports {
        @Override
        public void onLoss(AgentIncarnation replica) {
            mPeers.reports().onLoss(replica);
        }

        @Override
        public void onHolder(long prefix, NodeId replica) {
            mPeers.reports().onHolder(prefix, replica);
        }
    }

    /** Receives what this node reads from the store itself. */
    private final class StoreListener implements StateReader.Listener {
        @Override
        public void onBatch(RecordBatch batch) {
            take(batch, Optional.empty());
        }

        @Override
        public void onFirstReplicas(List<StateRecord> records) {
            mView.applyFirstReplicas(records, mParts.clock().monotonicTime());
        }

        @Override
        public void onReplicasRead(boolean answered) {
            mPeers.pulse(answered);
        }
    }

    /** Receives what other nodes send. */
    private final class PeerListener implements PeerGroup.Listener {
        private final ReplicaChooser mChooser;
        private final CrashingRequestDetector mCrashes;
        private final ReplicaLoads mLoads;

        PeerListener(ReplicaChooser chooser, CrashingRequestDetector crashes, ReplicaLoads loads) {
            mChooser = chooser;
            mCrashes = crashes;
            mLoads = loads;
        }

        @Override
        public void onBatch(RecordBatch batch, PeerGroup.PeerOrigin origin) {
            take(batch, Optional.of(origin));
        }

        @Override
        public boolean isShort(PoolId pool) {
            return mAdmissionControl.isShort(pool, mParts.clock().monotonicTime());
        }

        @Override
        public boolean onStrike(PeerStrike strike) {
            long now = mParts.clock().monotonicTime();
            if (StrikeCodec.isAgainstPart(strike)) {
                return mCrashes.onPartStrike(StrikeCodec.partStrike(strike), now);
            }
            if (strike.getAnswered()) {
                mCrashes.onCleared(StrikeCodec.request(strike));
            } else {
                var request = StrikeCodec.request(strike);
                mCrashes.onStrike(request, StrikeCodec.replica(strike), now);
            }
            return true;
        }

        @Override
        public List<PeerStrike> knownStrikes() {
            long now = mParts.clock().monotonicTime();
            return mCrashes.partStrikes(now).stream().map(StrikeCodec::encode).toList();
        }

        @Override
        public boolean onHolder(long prefix, NodeId replica) {
            return mChooser.onReportedHolder(prefix, replica, mParts.clock().monotonicTime());
        }

        @Override
        public void onLosses(AgentIncarnation replica, int answers) {
            mChooser.onReportedLosses(replica, answers, mParts.clock().monotonicTime());
        }

        @Override
        public void onMembersOutdated() {
            mNodeRegistrar.refresh();
        }

        @Override
        public void onNodes(int nodes) {
            mBudgets.onNodes(nodes);
            mLoads.onNodes(nodes);
            mAdmissionControl.onNodes(nodes);
            mColdReplicaLimiter.onNodes(nodes);
            mConnectionPools.onNodes(nodes);
            mCrashes.onNodes(nodes);
        }
    }

    private ChannelInitializer<Channel> adminInitializer() {
        var connections = new AdminConnections();
        var handler = new AdminHandler(mSettings, this::isReady, mParts.counters());
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connections);
                channel.pipeline().addLast(new HttpServerCodec(FewHeaders.decoderConfig()));
                channel.pipeline().addLast(new HttpObjectAggregator(MAX_ADMIN_BODY));
                channel.pipeline().addLast(handler);
            }
        };
    }

    private Channel bind(InetSocketAddress address, ChannelInitializer<Channel> initializer)
            throws java.io.IOException {
        var bound =
                new ServerBootstrap()
                        .group(mParts.loop())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer)
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new java.io.IOException(
                    "Cannot listen on "
                            + address
                            + ": "
                            + bound.cause().getMessage()
                            + ". End the process that holds the address, or set another one.",
                    bound.cause());
        }
        return bound.channel();
    }
}
