package org.fescueport.internal.load.experiment.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.load.experiment.VirtualTime;

/**
 * Routers that place calls on modelled replicas by their decisions alone. Nothing is lost and
 * nothing travels; a router knows what it sent itself, and what a replica told it with an answer.
 */
public final class ModelFleet {
    /** Replicas that a call is offered to before it is refused. */
    private static final int MAX_OFFERS = 2;

    private record Router(ReplicaLoads loads, Placer placer) {}

    private final VirtualTime mTime;
    private final Random mRandom;
    private final ModelTally mTally;
    private final List<Router> mRouters = new ArrayList<>();
    private final Map<NodeId, Backend> mBackends = new HashMap<>();
    private final ReplicaSet mSet;

    private ModelFleet(
            VirtualTime time,
            Random random,
            ModelTally tally,
            int replicas,
            Supplier<Backend> backends) {
        mTime = time;
        mRandom = random;
        mTally = tally;
        List<Replica> all = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            var node = NodeId.of("replica-" + i);
            all.add(Replica.of(node, FailureDomain.of("domain"), ""));
            mBackends.put(node, backends.get());
        }
        mSet = ReplicaSet.of(PoolId.of("pool"), all);
    }

    /**
     * Returns a fleet of idle replicas.
     *
     * @param placers one for each router, by what that router knows of loads
     */
    public static ModelFleet create(
            VirtualTime time,
            Random random,
            ModelTally tally,
            int routers,
            Function<ReplicaLoads, Placer> placers,
            int replicas,
            Supplier<Backend> backends) {
        var fleet = new ModelFleet(time, random, tally, replicas, backends);
        for (int i = 0; i < routers; i++) {
            var loads = ReplicaLoads.create();
            loads.onNodes(routers);
            fleet.mRouters.add(new Router(loads, placers.apply(loads)));
        }
        return fleet;
    }

    /** Sends a call through any of the routers. */
    public void submit(Call call, Affinity affinity) {
        var router = mRouters.get(mRandom.nextInt(mRouters.size()));
        mTally.onArrived(call);
        Set<NodeId> tried = new HashSet<>();
        for (int i = 0; i < MAX_OFFERS; i++) {
            Optional<Replica> chosen =
                    router.placer()
                            .choose(
                                    mSet,
                                    affinity,
                                    replica -> !tried.contains(replica.node()),
                                    mTime.now());
            if (chosen.isEmpty()) {
                break;
            }
            NodeId node = chosen.get().node();
            tried.add(node);
            if (offer(call, router, node)) {
                return;
            }
        }
        mTally.onRefused();
    }

    /** Returns how many calls each replica holds. */
    public List<Integer> held() {
        return mBackends.values().stream().map(Backend::held).toList();
    }

    private boolean offer(Call call, Router router, NodeId node) {
        Backend backend = mBackends.get(node);
        router.loads().onSent(node);
        if (backend.offer(call, new Answer(router, node, backend))) {
            return true;
        }
        router.loads().onEnded(node);
        router.loads().onRefused(node, mTime.now());
        return false;
    }

    /** What the router hears of one call. */
    private final class Answer implements Backend.Listener {
        private final Router mRouter;
        private final NodeId mNode;
        private final Backend mBackend;

        Answer(Router router, NodeId node, Backend backend) {
            mRouter = router;
            mNode = node;
            mBackend = backend;
        }

        @Override
        public void onFirst(Call call) {
            mRouter.loads().onTold(mNode, mBackend.held(), mTime.now());
            mTally.onFirst(call, mTime.now());
        }

        @Override
        public void onEnded(Call call, boolean complete) {
            mRouter.loads().onEnded(mNode);
            mTally.onEnded(complete);
        }
    }
}
