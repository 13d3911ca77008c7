package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.ejection.EjectionSettings;
import org.fescueport.internal.decision.ejection.OutlierEjection;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.RankWalk;
import org.fescueport.internal.decision.placement.Ranking;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.direct.state.FleetView;
import org.fescueport.internal.direct.state.ReplicaEntry;

/**
 * Picks the replica for a request.
 *
 * <p>Requests that share a prompt prefix go to the first replica in the order of their key that is
 * not loaded far above the mean, so that all nodes choose alike and a hot prefix spreads over as
 * few replicas as its load needs. Other requests go where the least is held. Replicas that keep
 * failing are passed over while others are left.
 */
public final class ReplicaChooser {
    private static final EjectionSettings EJECTION =
            new EjectionSettings(
                    2,
                    3,
                    0.4,
                    Duration.ofMillis(1_200),
                    Duration.ofSeconds(8),
                    Duration.ofSeconds(2));

    /** Part of the mean by which a replica may be loaded above it before a key spills over. */
    private static final double SPILL_FACTOR = 1.6;

    /** Requests that a replica may hold beyond that, whatever the mean is. */
    private static final int SPILL_FLOOR = 3;

    /** After this time what is in use has been read by a new replica, or fetched. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(20);

    /**
     * Where a request goes.
     *
     * @param cacheHolder another replica that may hold the prompt
     */
    public record Placed(ReplicaEntry replica, Optional<ReplicaEntry> cacheHolder) {}

    private final FleetView mView;
    private final ReplicaLoads mLoads;
    private final Map<PoolId, OutlierEjection> mEjections = new HashMap<>();

    private ReplicaChooser(FleetView view, ReplicaLoads loads) {
        mView = view;
        mLoads = loads;
    }

    /** Returns a chooser among the replicas of the view. */
    public static ReplicaChooser create(FleetView view, ReplicaLoads loads) {
        return new ReplicaChooser(view, loads);
    }

    /**
     * Returns where the request goes, or nothing when no replica of the pool takes new work.
     *
     * @param tried replicas that the request must not go to again
     */
    public Optional<Placed> choose(
            PoolId pool, Affinity affinity, Set<NodeId> tried, long nowNanos) {
        ReplicaSet set = mView.pool(pool);
        ReplicaFilter fresh = replica -> !tried.contains(replica.node());
        ReplicaFilter sound = ejection(set).filter(affinity.key(), nowNanos).and(fresh);
        Optional<Replica> chosen = pick(set, affinity, sound, nowNanos);
        if (chosen.isEmpty()) {
            chosen = pick(set, affinity, fresh, nowNanos);
        }
        return chosen.flatMap(replica -> mView.replica(replica.node()))
                .map(replica -> new Placed(replica, formerHome(replica, affinity, nowNanos)));
    }

    /**
     * Returns the replica that the requests of this key went to before replicas came or left, or
     * before their load made one of them spill over; it may still hold their prompt.
     */
    private Optional<ReplicaEntry> formerHome(
            ReplicaEntry chosen, Affinity affinity, long nowNanos) {
        if (!affinity.cacheable()) {
            return Optional.empty();
        }
        ReplicaSet holders = mView.cacheHolders(chosen.pool());
        Ranking ranking = Ranking.of(holders, affinity);
        long settled = nowNanos - SETTLING_TIME.toNanos();
        for (int index = ranking.next(); index >= 0; index = ranking.next()) {
            NodeId id = holders.replica(index).node();
            if (mView.isOlderThan(id, settled)) {
                return mView.replica(id).filter(home -> !home.id().equals(chosen.id()));
            }
        }
        return Optional.empty();
    }

    /** Notes that a replica has answered. */
    public void onSuccess(ReplicaEntry replica, long nowNanos) {
        ejection(mView.pool(replica.pool())).onSuccess(replica.id(), nowNanos);
    }

    /** Notes that a replica could not be reached, fell silent, or answered with an error. */
    public void onFailure(ReplicaEntry replica, long nowNanos) {
        ejection(mView.pool(replica.pool())).onFailure(replica.id(), nowNanos);
    }

    /** Forgets pools that are gone. */
    public void onReplicasChanged() {
        mEjections.keySet().retainAll(mView.pools());
    }

    private Optional<Replica> pick(
            ReplicaSet set, Affinity affinity, ReplicaFilter filter, long nowNanos) {
        ReplicaFilter hasRoom =
                affinity.cacheable() ? belowSpillLimit(set, nowNanos) : replica -> false;
        var walk =
                RankWalk.of(
                        set,
                        affinity,
                        filter,
                        hasRoom,
                        replica -> mLoads.held(replica.node(), nowNanos) / replica.weight());
        int first = walk.next();
        int index = first >= 0 ? first : walk.leastLoaded();
        return index < 0 ? Optional.empty() : Optional.of(set.replica(index));
    }

    private ReplicaFilter belowSpillLimit(ReplicaSet set, long nowNanos) {
        long all = 0;
        double weights = 0;
        for (var replica : set.replicas()) {
            all += mLoads.counted(replica.node(), nowNanos);
            weights += replica.weight();
        }
        double perWeight = SPILL_FACTOR * all / weights;
        return replica ->
                mLoads.held(replica.node(), nowNanos) < SPILL_FLOOR + perWeight * replica.weight();
    }

    private OutlierEjection ejection(ReplicaSet set) {
        var ejection =
                mEjections.computeIfAbsent(
                        set.pool(), pool -> OutlierEjection.create(EJECTION, set));
        ejection.onReplicas(set);
        return ejection;
    }
}
