package org.fescueport.internal.decision.placement;

import java.util.Optional;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.Mechanisms;

/**
 * Ties requests that share a prompt prefix to as few replicas as their load needs.
 *
 * <p>Answers a load of many requests with common prefixes, of which a few are hot at times: each
 * prefix goes to the first replica in the order of its key that is not loaded far above the mean,
 * so that all routers choose alike and little is read again. Requests that share nothing go where
 * the least is held. Room is measured by the slots of each replica. Not safe for use by several
 * threads.
 *
 * <pre>{@code
 * var placement = PrefixPlacement.create(loads);
 * Optional<Replica> replica = placement.choose(set, affinity, ReplicaFilter.ALL, now);
 * }</pre>
 */
public final class PrefixPlacement {
    /** Part of the mean by which a replica may be loaded above it before a key spills over. */
    private static final double SPILL_FACTOR = 1.6;

    /** Requests that a replica may hold beyond that, whatever the mean is. */
    private static final int SPILL_FLOOR = 3;

    private final ReplicaLoads mLoads;
    private final Mechanisms mMechanisms;

    private PrefixPlacement(ReplicaLoads loads, Mechanisms mechanisms) {
        mLoads = loads;
        mMechanisms = mechanisms;
    }

    /** Returns a placement by these loads. */
    public static PrefixPlacement create(ReplicaLoads loads) {
        return create(loads, Mechanisms.all());
    }

    /** Returns a placement by these loads that uses these mechanisms only. */
    public static PrefixPlacement create(ReplicaLoads loads, Mechanisms mechanisms) {
        return new PrefixPlacement(loads, mechanisms);
    }

    /** Returns the replica for a request, or nothing when the filter allows none. */
    public Optional<Replica> choose(
            ReplicaSet set, Affinity affinity, ReplicaFilter filter, long nowNanos) {
        return choose(set, set, affinity, filter, nowNanos);
    }

    /**
     * Returns the same where some replicas get nothing for now; no replica is to carry far more
     * than the mean of all.
     *
     * @param loadBasis also those that get nothing
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

    /** A replica that works on as much as it can begins later than one that has to read first. */
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
