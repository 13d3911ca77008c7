package org.fescueport.internal.load.experiment.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.admission.PoolAdmission;
import org.fescueport.internal.decision.admission.PoolOffer;
import org.fescueport.internal.decision.admission.PoolPollResult;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.decision.share.DemandMeter;
import org.fescueport.internal.decision.share.FleetDemand;
import org.fescueport.internal.decision.share.PoolDemand;
import org.fescueport.internal.load.experiment.VirtualTime;

/**
 * Routers that place calls on modelled replicas by their decisions alone. Nothing is lost and
 * nothing travels; a router knows what it sent itself, and what a replica told it with an answer.
 */
public final class ModelFleet {
    /** Replicas that a call is offered to before it is refused. */
    private static final int MAX_OFFERS = 2;

    /** How often a router looks after the calls that wait at it. */
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** How often routers tell one another the demand. */
    private static final long TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final PoolId POOL = PoolId.of("pool");
    private static final TeamId NO_TEAM = TeamId.of("");

    /** Told what becomes of a call. */
    public interface Caller {
        /** Returns one who does not listen. */
        static Caller deaf() {
            return new Caller() {};
        }

        /** The answer begins. */
        default void onFirst(Call call) {}

        /** The call was not run; there may be room after this time. */
        default void onRefused(Call call, long retryAfterMillis) {}
    }

    /** How routers decide what they send. */
    public enum Admission {
        /** Everything is sent at once. */
        NONE,
        /** By the time in which answers begin, each router by itself. */
        ANSWER_TIMES,
        /** By the rate at which answers begin, with fair shares of the whole fleet. */
        STARTS
    }

    /** Sizes and ways of a fleet. */
    public record Plan(
            int routers,
            Function<ReplicaLoads, Placer> placer,
            Admission admission,
            boolean tellsLoad,
            int slots,
            int replicas,
            Supplier<Backend> backend) {}

    private record Asked(AttemptId id, Call call, Affinity affinity, TeamId team, Caller caller) {}

    private static final class Router {
        private final ReplicaLoads mLoads;
        private final Placer mPlacer;
        private final Optional<PoolAdmission> mAdmission;
        private final Map<AttemptId, Asked> mWaiting = new HashMap<>();
        private final FleetDemand<Router> mDemand = FleetDemand.create();
        private boolean mPumping;
        private boolean mCutOff;

        Router(ReplicaLoads loads, Placer placer, Optional<PoolAdmission> admission) {
            mLoads = loads;
            mPlacer = placer;
            mAdmission = admission;
        }

        private DemandMeter meter() {
            return mDemand.meter(POOL);
        }

        private Map<PoolId, PoolDemand> subtree(long nowNanos) {
            return mDemand.subtree(
                    pool -> mAdmission.filter(each -> each.isShort(nowNanos)).isPresent(),
                    nowNanos);
        }
    }

    private final VirtualTime mTime;
    private final Random mRandom;
    private final ModelTally mTally;
    private final Plan mPlan;
    private final List<Router> mRouters = new ArrayList<>();
    private final Map<NodeId, Backend> mBackends = new HashMap<>();
    private ReplicaSet mSet;
    private long mNextId;
    private long mSent;
    private long mRejected;

    private ModelFleet(VirtualTime time, Random random, ModelTally tally, Plan plan) {
        mTime = time;
        mRandom = random;
        mTally = tally;
        mPlan = plan;
        List<Replica> all = new ArrayList<>();
        for (int i = 0; i < plan.replicas(); i++) {
            var node = NodeId.of("replica-" + i);
            all.add(new Replica(node, FailureDomain.of("domain"), "", plan.slots(), 0));
            mBackends.put(node, plan.backend().get());
        }
        mSet = ReplicaSet.of(POOL, all);
    }

    /** Returns a fleet of idle replicas. */
    public static ModelFleet create(VirtualTime time, Random random, ModelTally tally, Plan plan) {
        var fleet = new ModelFleet(time, random, tally, plan);
        for (int i = 0; i < plan.routers(); i++) {
            fleet.mRouters.add(fleet.newRouter());
        }
        if (plan.admission() != Admission.NONE) {
            time.every(POLL_NANOS, () -> fleet.mRouters.forEach(fleet::pump));
        }
        if (plan.admission() == Admission.STARTS) {
            time.every(TELL_NANOS, fleet::tellDemand);
        }
        return fleet;
    }

    private Router newRouter() {
        var loads = ReplicaLoads.create();
        loads.onNodes(mPlan.routers());
        Optional<PoolAdmission> admission =
                mPlan.admission() == Admission.NONE
                        ? Optional.empty()
                        : Optional.of(PoolAdmission.create(mTime.now()));
        admission.ifPresent(
                each -> {
                    if (mPlan.admission() == Admission.STARTS) {
                        each.limitStarts(mTime.now());
                    }
                    each.onCapacity(mPlan.slots() * mPlan.replicas(), mPlan.routers());
                });
        return new Router(loads, mPlan.placer().apply(loads), admission);
    }

    /** Replaces a replica by a new one at the same place, which begins idle. */
    public void replace(int index, Backend backend) {
        List<Replica> all = new ArrayList<>(mSet.replicas());
        Replica old = all.get(index);
        all.set(index, old.withIncarnation(old.incarnation() + 1));
        mBackends.put(old.node(), backend);
        mSet = ReplicaSet.of(mSet.pool(), all);
    }

    /** Sends a call through any of the routers. */
    public void submit(Call call, Affinity affinity) {
        submit(call, affinity, NO_TEAM, Caller.deaf());
    }

    /** Sends a call through any of the routers; it may be one that was refused before. */
    public void submit(Call call, Affinity affinity, TeamId team, Caller caller) {
        submit(mRandom.nextInt(mRouters.size()), call, affinity, team, caller);
    }

    /** Sends a call through one router; it may be one that was refused before. */
    public void submit(int number, Call call, Affinity affinity, TeamId team, Caller caller) {
        var router = mRouters.get(number);
        mTally.onArrived(call);
        router.meter().onOffered(team, mTime.now());
        var id = AttemptId.of(RequestId.of(0, mNextId++), 1);
        var asked = new Asked(id, call, affinity, team, caller);
        if (router.mAdmission.isEmpty()) {
            send(router, asked);
            return;
        }
        var offer =
                new PoolOffer(
                        id,
                        team,
                        call.urgency(),
                        call.aimAtNanos(),
                        call.aimNanos(),
                        call.endAtNanos());
        router.mAdmission.get().onOccupancy(router.mLoads.occupancy(mSet, mTime.now()));
        switch (router.mAdmission.get().offer(offer, mTime.now())) {
            case AdmissionDecision.Admitted admitted -> send(router, asked);
            case AdmissionDecision.Queued queued -> router.mWaiting.put(id, asked);
            case AdmissionDecision.Refused refused -> refuse(asked, refused.retryAfterMillis());
        }
    }

    /** Returns how many calls each replica holds. */
    public List<Integer> held() {
        return mBackends.values().stream().map(Backend::held).toList();
    }

    /** Returns which part of all sendings the replicas turned away. */
    public double rejectedPart() {
        return mRejected / (double) Math.max(1, mSent);
    }

    /** Cuts a router off from what the others tell, or connects it again. */
    public void setCutOff(int number, boolean cutOff) {
        mRouters.get(number).mCutOff = cutOff;
    }

    /** Replaces a router by one that knows nothing; the calls that wait there are refused. */
    public void restart(int number) {
        var router = mRouters.get(number);
        List.copyOf(router.mWaiting.values()).forEach(asked -> refuse(asked, 0));
        mRouters.set(number, newRouter());
    }

    /** Tells each router the demand of the fleet, as the tree of nodes does. */
    private void tellDemand() {
        long now = mTime.now();
        List<Map<PoolId, PoolDemand>> told =
                mRouters.stream()
                        .filter(router -> !router.mCutOff)
                        .map(router -> router.subtree(now))
                        .toList();
        var sum = PoolDemand.sum(told.stream().flatMap(each -> each.values().stream()).toList());
        for (var router : mRouters) {
            if (!router.mCutOff) {
                router.mDemand.onFleet(Map.of(POOL, sum), now);
            }
            router.mAdmission.ifPresent(each -> each.onShare(router.mDemand.share(POOL, now)));
        }
    }

    /** Lets go what may be sent now. */
    private void pump(Router router) {
        if (router.mPumping) {
            return;
        }
        router.mPumping = true;
        var admission = router.mAdmission.get();
        var step = poll(router, admission);
        while (!step.started().isEmpty() || !step.dropped().isEmpty()) {
            step.started().forEach(offer -> send(router, router.mWaiting.remove(offer.id())));
            step.dropped()
                    .forEach(
                            over ->
                                    refuse(
                                            router.mWaiting.remove(over.offer().id()),
                                            over.retryAfterMillis()));
            step = poll(router, admission);
        }
        router.mPumping = false;
    }

    private PoolPollResult poll(Router router, PoolAdmission admission) {
        admission.onOccupancy(router.mLoads.occupancy(mSet, mTime.now()));
        return admission.poll(mTime.now());
    }

    private void send(Router router, Asked asked) {
        Set<NodeId> tried = new HashSet<>();
        for (int i = 0; i < MAX_OFFERS; i++) {
            Optional<Replica> chosen =
                    router.mPlacer.choose(
                            mSet,
                            asked.affinity(),
                            replica -> !tried.contains(replica.node()),
                            mTime.now());
            if (chosen.isEmpty()) {
                break;
            }
            tried.add(chosen.get().node());
            if (offer(asked, router, chosen.get())) {
                return;
            }
        }
        router.mAdmission.ifPresent(each -> each.onEnded(asked.id(), mTime.now()));
        refuse(asked, 0);
    }

    private void refuse(Asked asked, long retryAfterMillis) {
        mTally.onRefused();
        asked.caller().onRefused(asked.call(), retryAfterMillis);
    }

    private boolean offer(Asked asked, Router router, Replica replica) {
        NodeId node = replica.node();
        Backend backend = mBackends.get(node);
        router.mLoads.onSent(node);
        mSent++;
        var watcher = router.mPlacer.onSent(replica, mTime.now());
        var answer = new Answer(asked, router, node, backend, watcher, mTime.now());
        if (backend.offer(asked.call(), answer)) {
            return true;
        }
        watcher.onRefused(mTime.now());
        mRejected++;
        router.mLoads.onEnded(node);
        router.mLoads.onRefused(node, mTime.now());
        router.mAdmission.ifPresent(each -> each.onReplicaFull(mTime.now()));
        return false;
    }

    /** What the router hears of one call. */
    private final class Answer implements Backend.Listener {
        private final Asked mAsked;
        private final Router mRouter;
        private final NodeId mNode;
        private final Backend mBackend;
        private final Placer.Watcher mWatcher;
        private final long mSentNanos;

        Answer(
                Asked asked,
                Router router,
                NodeId node,
                Backend backend,
                Placer.Watcher watcher,
                long sentNanos) {
            mWatcher = watcher;
            mAsked = asked;
            mRouter = router;
            mNode = node;
            mBackend = backend;
            mSentNanos = sentNanos;
        }

        @Override
        public void onFirst(Call call) {
            long now = mTime.now();
            if (mPlan.tellsLoad()) {
                mRouter.mLoads.onReport(mNode, mBackend.held(), now);
            }
            mRouter.mPlacer.onFirst(mNode, call, mSentNanos, now);
            mTally.onFirst(call, now);
            mRouter.meter().onStarted(mAsked.team(), now);
            mWatcher.onFirst(now);
            mAsked.caller().onFirst(call);
            mRouter.mAdmission.ifPresent(
                    admission -> admission.onFirstByte(mAsked.id(), mSentNanos, now));
        }

        @Override
        public void onEnded(Call call, boolean complete) {
            mRouter.mLoads.onEnded(mNode);
            if (complete) {
                mRouter.mPlacer.onComplete(mNode, call, mTime.now());
            }
            mTally.onEnded(complete);
            if (!complete) {
                mWatcher.onFailed(mTime.now());
            }
            mRouter.mAdmission.ifPresent(
                    admission -> {
                        admission.onEnded(mAsked.id(), mTime.now());
                        mTime.after(0, () -> pump(mRouter));
                    });
        }
    }
}
