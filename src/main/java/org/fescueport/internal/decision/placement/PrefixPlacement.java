package org.fescueport.internal.decision.placement;

import java.util.Optional;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.Mechanisms;

/**
 * Sends requests that share a prompt prefix to as few replicas as their load requires.
 *
 * <p>Designed for many requests with common prefixes, some of which are temporarily hot. The
 * requests of a prefix go to the first replica, in the order of the prefix's key, whose load is not
 * far above the mean. All routers therefore choose the same replica, and few prefixes are computed
 * more than once. Requests without a shared prefix go to the least loaded replica. The weight of a
 * replica is its number of slots, and loads are compared relative to it. This class is not
 * thread-safe.
 *
 * <pre>{@code
 * var placement = PrefixPlacement.create(loads);
 * Optional<Replica> replica = placement.choose(set, affinity, ReplicaFilter.ALL, now);
 * }</pre>
 */
public final class PrefixPlacement {
    /** Ratio of a replica's load per slot to the mean, from which requests spill over. */
    private static final double SPILL_FACTOR = 1.6;

    /** Number of requests in flight that a replica may have in addition, whatever the mean is. */
    private static final int SPILL_FLOOR = 3;

    private final ReplicaLoads mLoads;
    private final Mechanisms mMechanisms;

    private PrefixPlacement(ReplicaLoads loads, Mechanisms mechanisms) {
        mLoads = loads;
        mMechanisms = mechanisms;
    }

    /** Returns a placement that compares replicas by the given loads. */
    public static PrefixPlacement create(ReplicaLoads loads) {
        return create(loads, Mechanisms.all());
    }

    /** Returns a placement that compares replicas by the given loads, with some mechanisms only. */
    public static PrefixPlacement create(ReplicaLoads loads, Mechanisms mechanisms) {
        return new PrefixPlacement(loads, mechanisms);
    }

    /** Returns the replica for a request; empty if the filter allows none. */
    public Optional<Replica> choose(
            ReplicaSet set, Affinity affinity, ReplicaFilter filter, long nowNanos) {
        return choose(set, set, affinity, filter, nowNanos);
    }

    /**
     * Returns the replica for a request while some replicas of the pool receive no new requests.
     *
     * @param set replicas to choose from
     * @param loadBasis replicas whose mean load limits the load of each, including those that
     *     receive no new requests
     * @return the replica; empty if the filter allows none
     */
    public Optional<Replica> choose(
            ReplicaSet set,
            ReplicaSet loadBasis,
            Affinity affinity,
            ReplicaFilter filter,
            long nowNanos) {
        if (affinity.cacheable() && mMechanisms.isEnabled(Mechanism.PROMPT_PLACING)) {
            ReplicaFilter belowLimit = belowSpillLimit(loadBasis, nowNanos);
            int index =
                    candidates(
                                    set,
                                    affinity,
                                    filter,
                                    belowLimit.and(hasFreeSlot(nowNanos)),
                                    nowNanos)
                            .next();
            if (index < 0) {
                index = candidates(set, affinity, filter, belowLimit, nowNanos).next();
            }
            if (index >= 0) {
                return Optional.of(set.replica(index));
            }
        }
        var candidates = candidates(set, affinity, filter, replica -> false, nowNanos);
        candidates.next();
        int index = candidates.leastLoaded();
        return index < 0 ? Optional.empty() : Optional.of(set.replica(index));
    }

    private CandidateIterator candidates(
            ReplicaSet set,
            Affinity affinity,
            ReplicaFilter filter,
            ReplicaFilter hasCapacity,
            long nowNanos) {
        return CandidateIterator.of(
                set,
                affinity,
                filter,
                hasCapacity,
                replica -> mLoads.placementLoad(replica.node(), nowNanos) / replica.weight());
    }

    /**
     * Returns a filter for replicas with a free slot. A replica without one starts the request
     * later than a replica that has a free slot but has to compute the prefix first.
     */
    private ReplicaFilter hasFreeSlot(long nowNanos) {
        if (!mMechanisms.isEnabled(Mechanism.FREE_SLOTS_FIRST)) {
            return replica -> true;
        }
        return replica -> mLoads.placementLoad(replica.node(), nowNanos) < replica.weight();
    }

    private ReplicaFilter belowSpillLimit(ReplicaSet set, long nowNanos) {
        if (!mMechanisms.isEnabled(Mechanism.SPILL)) {
            return replica -> true;
        }
        long totalInFlight = 0;
        double weights = 0;
        for (var replica : set.replicas()) {
            totalInFlight += mLoads.inFlight(replica.node(), nowNanos);
            weights += replica.weight();
        }
        double perWeight = SPILL_FACTOR * totalInFlight / weights;
        return replica ->
                mLoads.placementLoad(replica.node(), nowNanos)
                        < SPILL_FLOOR + perWeight * replica.weight();
    }
}
