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
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.placement.ColdReplicaLimiter;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaNotices;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.forward.AdmissionControl;
import org.fescueport.internal.direct.forward.CallerQuota;
import org.fescueport.internal.direct.forward.Forwarder;
import org.fescueport.internal.direct.forward.ForwardingContext;
import org.fescueport.internal.direct.forward.ForwardingMetrics;
import org.fescueport.internal.direct.forward.ReplicaConnectionPools;
import org.fescueport.internal.direct.forward.WireProtocol;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.peer.PeerGroup;
import org.fescueport.internal.direct.peer.StrikeCodec;
import org.fescueport.internal.direct.place.CrashingRequestDetector;
import org.fescueport.internal.direct.place.ReplicaChooser;
import org.fescueport.internal.direct.place.ReplicaLiveness;
import org.fescueport.internal.direct.place.RetryBudgets;
import org.fescueport.internal.direct.state.EraMetrics;
import org.fescueport.internal.direct.state.EraTracker;
import org.fescueport.internal.direct.state.FleetView;
import org.fescueport.internal.direct.state.NodeRegistrar;
import org.fescueport.internal.direct.state.RecordBatch;
import org.fescueport.internal.direct.state.StateDecoder;
import org.fescueport.internal.direct.state.StateReader;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateStore;
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

    /** A steady clock that stood still, or ticks that came late, for longer than this. */
    private static final Duration LARGEST_GAP = Duration.ofMillis(1_200);

    /** Until the balancer has surely seen that this node is not ready. */
    private static final Duration LEAST_STOP_TIME = Duration.ofMillis(3_200);

    /** Left of the time to stop for the process to end by itself. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(700);

    /** For peers to tell a node that starts what is in force; they may all be gone. */
    private static final Duration LONGEST_CATCH_UP = Duration.ofMillis(1_500);

    /** Nodes that share the retry allowance while it is not known how many there are. */
    private static final int UNKNOWN_NODES = 8;

    /**
     * What a router works with.
     *
     * @param eras what the store and peers tell of the store's era
     * @param counters text of all meters of the registry
     * @param mechanisms all of them but in an experiment
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
    private final AdmissionControl mGates;
    private final ColdReplicaLimiter mColdTurns;
    private final Parts mParts;
    private final FleetView mView;
    private final StateReader mReader;
    private final PeerGroup mPeers;
    private final NodeRegistrar mAnnouncer;
    private final SplittableRandom mRandom;
    private final Forwarder mForwarder;
    private final ReplicaConnectionPools mLinks;
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private Channel mListener;
    private long mStopSinceNanos;
    private boolean mStopping;
    private long mBegunNanos;
    private boolean mCaughtUp;
    private long mLastCheckNanos;
    private long mWallMinusSteadyMillis;

    private DirectRouter(DirectRouterSettings settings, Parts parts) {
        mSettings = settings;
        mParts = parts;
        mView = FleetView.create(parts.decoder(), parts.log(), settings.leaveBound());
        mPeers = newPeers();
        mReader = newReader();
        mRandom = new SplittableRandom(settings.node().hashCode());
        mAnnouncer = newAnnouncer();
        parts.eras().listen(this::onNewEra);
        EraMetrics.register(parts.registry(), parts.eras());
        mLinks =
                ReplicaConnectionPools.create(
                        parts.loop(), parts.protocol(), parts.clock(), mRandom);
        mColdTurns = ColdReplicaLimiter.create(mRandom);
        var loads = ReplicaLoads.create();
        var notices = ReplicaNotices.create();
        var chooser = ReplicaChooser.create(mView, loads, notices, mColdTurns, parts.mechanisms());
        chooser.listen(new FromChooser());
        var health = ReplicaLiveness.create();
        mView.listen(
                () -> {
                    var present = mView.replicaIds();
                    chooser.onReplicasChanged();
                    loads.retain(present);
                    health.retain(present);
                });
        mGates = AdmissionControl.create(mView, loads, parts.mechanisms());
        mBudgets =
                RetryBudgets.create(
                        settings.retryShare(),
                        settings.retryAllowance(),
                        settings.retryWindow(),
                        UNKNOWN_NODES,
                        parts.clock());
        var crashes = CrashingRequestDetector.create();
        crashes.listen(new FromCrashWatch());
        mPeers.listen(new FromPeers(chooser, crashes, loads));
        var context =
                new ForwardingContext(
                        parts.clock(),
                        mView,
                        parts.protocol(),
                        mLinks,
                        chooser,
                        loads,
                        notices,
                        health,
                        mGates,
                        mBudgets,
                        crashes,
                        CallerQuota.of(settings.limits().callers(), settings.limits().bodyBytes()),
                        ForwardingMetrics.create(parts.registry()),
                        parts.log(),
                        parts.mechanisms(),
                        mRandom);
        mForwarder = Forwarder.create(context);
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
                new Reading(),
                mParts.loop(),
                mParts.clock(),
                mParts.log());
    }

    private NodeRegistrar newAnnouncer() {
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
        mParts.loop().execute(this::beginStop);
        return mStopped;
    }

    /** Returns whether this node wants new connections. */
    public boolean isReady() {
        return !mStopping && mView.isComplete() && mCaughtUp;
    }

    /** Returns the number of connections to this node that other nodes have opened. */
    public int peerConnections() {
        return mPeers.inboundConnections();
    }

    /** Where the store may come back from a copy, peers are asked first what is in force. */
    private void noticeCaughtUp() {
        if (!mView.isComplete()) {
            return;
        }
        long waited = mParts.clock().monotonicTime() - mBegunNanos;
        mCaughtUp =
                mCaughtUp
                        || mParts.eras().current() == 0
                        || waited > LONGEST_CATCH_UP.toNanos()
                        || mPeers.isCaughtUp();
    }

    private void begin() {
        mBegunNanos = mParts.clock().monotonicTime();
        useSeeds();
        mReader.start();
        mAnnouncer.start();
        mLastCheckNanos = mParts.clock().monotonicTime();
        mWallMinusSteadyMillis = wallMinusSteadyMillis();
        every(CHECK_INTERVAL, this::check);
        every(SWEEP_INTERVAL, this::sweep);
    }

    /** What is believed stays in use until the new era's list has been read. */
    private void onNewEra() {
        mView.onStoreRecovered(mParts.clock().monotonicTime());
        mReader.refresh();
        mAnnouncer.onNewEra();
    }

    /** Takes changed settings; those of addresses count from the next start. */
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
                .scheduleWithFixedDelay(() -> guarded(task), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    /** A fault in one round must not end the rounds. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            mParts.log().change("fault").with("where", "timer").with("cause", e).write();
        }
    }

    private void check() {
        mPeers.reports().flush();
        mForwarder.checkTimeouts();
        noticeCaughtUp();
    }

    private void sweep() {
        noticeGap();
        mPeers.tick(mReader.isStoreReachable());
        mReader.setActive(!mPeers.isServed());
        mForwarder.sweep();
        if (mStopping) {
            endIfDone();
        }
    }

    /** After a freeze or a suspension what is believed may be old: it is read anew at once. */
    private void noticeGap() {
        long now = mParts.clock().monotonicTime();
        long offset = wallMinusSteadyMillis();
        boolean late = now - mLastCheckNanos > LARGEST_GAP.toNanos();
        boolean moved = Math.abs(offset - mWallMinusSteadyMillis) > LARGEST_GAP.toMillis();
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

    private void beginStop() {
        if (mStopping) {
            return;
        }
        mStopping = true;
        mStopSinceNanos = mParts.clock().monotonicTime();
        mParts.log().change("stopping").with("connections", mForwarder.connections()).write();
        long late = mStopSinceNanos + LEAST_STOP_TIME.toNanos();
        mForwarder.beginStop(late, mStopSinceNanos + longestStopTime().toNanos());
    }

    private void endIfDone() {
        Duration waited = Duration.ofNanos(mParts.clock().monotonicTime() - mStopSinceNanos);
        boolean idle = waited.compareTo(LEAST_STOP_TIME) > 0 && mForwarder.isIdle();
        boolean done = idle && !mListener.isOpen();
        if (idle && !done) {
            // What has been accepted until now is served before the end, which comes a round later.
            mListener.close();
        }
        boolean late = waited.compareTo(longestStopTime()) > 0;
        if (done || late) {
            mReader.stop();
            mPeers.stop();
            mLinks.closeIdle();
            mParts.log()
                    .change("stopped")
                    .with("connections", mForwarder.connections())
                    .with("ms", waited.toMillis())
                    .write();
            mStopped.complete(null);
        }
    }

    /** Takes records in and passes on what is new. */
    private void take(RecordBatch batch, Optional<PeerGroup.PeerOrigin> origin) {
        var news = mView.applyBatch(batch, mParts.clock().monotonicTime());
        mPeers.spread(batch.topic(), news, origin);
    }

    /** What this node finds about replicas that the others should know. */
    private final class FromChooser implements ReplicaChooser.Reports {
        @Override
        public void onLoss(AgentIncarnation replica) {
            mPeers.reports().onLoss(replica);
        }

        @Override
        public void onHolder(long prefix, NodeId replica) {
            mPeers.reports().onHolder(prefix, replica);
        }
    }

    /** What this node finds about requests that replicas may have died of. */
    private final class FromCrashWatch implements CrashingRequestDetector.Listener {
        @Override
        public void onStrike(Fingerprint request, AgentIncarnation replica) {
            mParts.log()
                    .change("replica-died-of-request")
                    .with("replica", replica)
                    .with("team", request.team())
                    .write();
            mPeers.reports().onStrike(StrikeCodec.encode(request, replica));
        }

        @Override
        public void onCleared(Fingerprint request) {
            mParts.log().change("request-cleared").with("team", request.team()).write();
            mPeers.reports().onStrike(StrikeCodec.encodeAnswered(request));
        }
    }

    /** What this node reads from the store itself. */
    private final class Reading implements StateReader.Listener {
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

    /** What comes from other nodes. */
    private final class FromPeers implements PeerGroup.Listener {
        private final ReplicaChooser mChooser;
        private final CrashingRequestDetector mCrashes;
        private final ReplicaLoads mLoads;

        FromPeers(ReplicaChooser chooser, CrashingRequestDetector crashes, ReplicaLoads loads) {
            mChooser = chooser;
            mCrashes = crashes;
            mLoads = loads;
        }

        @Override
        public void onBatch(RecordBatch batch, PeerGroup.PeerOrigin origin) {
            take(batch, Optional.of(origin));
        }

        @Override
        public void onStrike(PeerStrike strike) {
            if (strike.getAnswered()) {
                mCrashes.onCleared(StrikeCodec.request(strike));
                return;
            }
            mCrashes.onStrike(
                    StrikeCodec.request(strike),
                    StrikeCodec.replica(strike),
                    mParts.clock().monotonicTime());
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
            mAnnouncer.refresh();
        }

        @Override
        public void onNodes(int nodes) {
            mBudgets.onNodes(nodes);
            mLoads.onNodes(nodes);
            mGates.onNodes(nodes);
            mColdTurns.onNodes(nodes);
            mLinks.onNodes(nodes);
        }
    }

    private Duration longestStopTime() {
        return mSettings.stopTime().minus(STOP_MARGIN);
    }

    private ChannelInitializer<Channel> adminInitializer() {
        var handler = new AdminHandler(mSettings, this::isReady, mParts.counters());
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpServerCodec());
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
