package org.fescueport.internal.agent;

import com.google.protobuf.InvalidProtocolBufferException;
import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.Gauge;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.reconcile.DesiredModel;
import org.fescueport.internal.decision.reconcile.LoadOrder;
import org.fescueport.internal.decision.reconcile.Reconciler;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.AgentLink;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.log.lease.LeaseKeeper;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.WireException;
import org.fescueport.internal.wire.generated.OrderAnswer;
import org.fescueport.internal.wire.generated.OrderCall;
import org.fescueport.internal.wire.generated.OrderFate;
import org.fescueport.internal.wire.generated.Reply;
import org.fescueport.port.WeightStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders engines to load what is declared, while this node holds the lease for it. Runs on one
 * executor thread; call {@link #look} every second.
 */
final class PlacementDuty {
    /** The lease of whoever orders loads. */
    static final String LEASE = "placement";

    private static final Logger LOG = LoggerFactory.getLogger(PlacementDuty.class);
    private static final String LOAD = "load";

    /**
     * The weight store, as far as loads heed it.
     *
     * @param bytesPerSecond its rate, which all readers share
     */
    record Store(WeightStore weights, long bytesPerSecond) {}

    /** One time of holding the lease. */
    private record Tenure(long token, Reconciler reconciler, ReplicaReports reports) {}

    private final LeaseKeeper mKeeper;
    private final Store mStore;
    private final Membership mMembership;
    private final AgentConnections mConnections;
    private final Supplier<Declarations> mDeclarations;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final Telemetry mTelemetry;
    private final Map<String, Long> mSizes = new HashMap<>();
    private List<String> mBlocked = List.of();
    private Tenure mTenure;
    private volatile long mHeldToken;
    private volatile int mBlockedCount;

    private PlacementDuty(
            LeaseKeeper keeper,
            Store store,
            Membership membership,
            AgentConnections connections,
            Supplier<Declarations> declarations,
            ScheduledExecutorService executor,
            Clock clock,
            Telemetry telemetry) {
        mKeeper = keeper;
        mStore = store;
        mMembership = membership;
        mConnections = connections;
        mDeclarations = declarations;
        mExecutor = executor;
        mClock = clock;
        mTelemetry = telemetry;
    }

    /** Returns the duty of a node that is no candidate yet. */
    static PlacementDuty create(
            LeaseKeeper keeper,
            Store store,
            Membership membership,
            AgentConnections connections,
            Supplier<Declarations> declarations,
            ScheduledExecutorService executor,
            Clock clock,
            Telemetry telemetry) {
        var duty =
                new PlacementDuty(
                        keeper,
                        store,
                        membership,
                        connections,
                        declarations,
                        executor,
                        clock,
                        telemetry);
        var registry = telemetry.registry();
        Gauge.builder("placement_token", duty, it -> it.mHeldToken).register(registry);
        Gauge.builder("placement_blocked_models", duty, it -> it.mBlockedCount).register(registry);
        return duty;
    }

    /** Says whether this node stands for the lease; may be said again at any time. */
    void setCandidate(boolean candidate) {
        if (candidate) {
            mKeeper.stand(LEASE);
        } else {
            mKeeper.withdraw(LEASE);
        }
    }

    /** Compares what is seen with what is declared, and sends the orders that are due. */
    void look() {
        var token = mKeeper.token(LEASE);
        mHeldToken = token.orElse(0L);
        if (token.isEmpty()) {
            mTenure = null;
            mBlockedCount = 0;
            return;
        }
        if (mTenure == null || mTenure.token() != token.get()) {
            mTenure = tenure(token.get());
        }
        var wanted = wanted();
        var pools = wanted.stream().map(one -> one.model().pool()).distinct().toList();
        mTenure.reports().ask(pools);
        mTenure.reports().seen(pools).ifPresent(seen -> plan(mTenure, wanted, seen));
    }

    private Tenure tenure(long token) {
        var reconciler = Reconciler.create(mStore.bytesPerSecond(), mClock.monotonicTime());
        var reports = ReplicaReports.create(mMembership, mConnections, mExecutor);
        return new Tenure(token, reconciler, reports);
    }

    private void plan(
            Tenure tenure,
            List<DesiredModel> wanted,
            List<org.fescueport.internal.decision.reconcile.ObservedReplica> seen) {
        var plan = tenure.reconciler().plan(wanted, seen, mClock.monotonicTime());
        mBlockedCount = plan.blocked().size();
        if (!plan.blocked().equals(mBlocked)) {
            mBlocked = plan.blocked();
            LOG.warn("models that can't become as declared: {}", mBlocked);
        }
        plan.orders().forEach(order -> send(tenure, order));
    }

    /** The declared models whose artifact's size is known; the others are asked for. */
    private List<DesiredModel> wanted() {
        var wanted = new ArrayList<DesiredModel>();
        for (var model : mDeclarations.get().models().values()) {
            if (model.artifact().isEmpty() || model.replicas() == 0) {
                continue;
            }
            var size = mSizes.get(model.artifact());
            if (size == null) {
                askSize(model);
            } else {
                wanted.add(new DesiredModel(model, size));
            }
        }
        return wanted;
    }

    private void askSize(ModelDeclaration model) {
        mStore.weights()
                .sizeOf(model.artifact())
                .whenCompleteAsync(
                        (bytes, failure) -> {
                            if (failure == null) {
                                mSizes.put(model.artifact(), bytes);
                            } else {
                                mTelemetry.counter("placement_sizes_failed").increment();
                            }
                        },
                        mExecutor);
    }

    private void send(Tenure tenure, LoadOrder order) {
        mTelemetry.counter("placement_orders_sent").increment();
        tenure.reports().watch(order.node());
        LOG.info("{} is to load {}, token {}", order.node(), order.artifact(), tenure.token());
        linkTo(order).whenCompleteAsync((link, failure) -> sendOn(tenure, order, link), mExecutor);
    }

    private CompletableFuture<AgentLink> linkTo(LoadOrder order) {
        return poolOf(order)
                .flatMap(
                        pool ->
                                mMembership.listed(pool).stream()
                                        .filter(replica -> replica.node().equals(order.node()))
                                        .findFirst())
                .map(mConnections::to)
                .orElseGet(
                        () -> {
                            var gone = order.node() + " is no longer listed";
                            return CompletableFuture.failedFuture(WireException.of(gone, null));
                        });
    }

    private Optional<PoolId> poolOf(LoadOrder order) {
        var model = mDeclarations.get().models().get(order.model());
        return Optional.ofNullable(model).map(ModelDeclaration::pool);
    }

    /** The lease may have ended while the connection was opened. */
    private void sendOn(Tenure tenure, LoadOrder order, AgentLink link) {
        var isHeld = mKeeper.token(LEASE).equals(Optional.of(tenure.token()));
        if (link == null || !isHeld) {
            onFailed(tenure, order, link == null ? "no connection" : "the lease is over");
            return;
        }
        var call =
                OrderCall.newBuilder()
                        .setFencingToken(tenure.token())
                        .setKind(LOAD)
                        .setSubject(order.artifact())
                        .build();
        link.call(PeerCalls.ORDER, call.toByteString())
                .thenAcceptAsync(reply -> onAnswer(tenure, order, reply), mExecutor);
    }

    private void onAnswer(Tenure tenure, LoadOrder order, Reply reply) {
        try {
            var answer = OrderAnswer.parseFrom(reply.getPayload());
            if (answer.getFate() == OrderFate.ORDER_REFUSED) {
                onFailed(tenure, order, answer.getDetail());
            }
        } catch (InvalidProtocolBufferException e) {
            // Unknown, as if no answer had come: the replica counts as loading for a while.
            mTelemetry.counter("placement_answers_unreadable").increment();
        }
    }

    private void onFailed(Tenure tenure, LoadOrder order, String why) {
        mTelemetry.counter("placement_orders_failed").increment();
        LOG.warn("{} does not load {}: {}", order.node(), order.artifact(), why);
        tenure.reconciler().failed(order);
    }
}
