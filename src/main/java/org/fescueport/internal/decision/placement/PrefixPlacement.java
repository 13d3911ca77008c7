package org.fescueport.internal.decision.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Optional;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.placement.ReplicaSpeeds.Slowness;

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
 * <p>Where replicas report their speed, a slow replica keeps a part of its prefixes that
 * corresponds to its speed, and a request there counts for as many as the replica is slower when
 * loads are compared. The spill limit counts requests as before. All nodes read the same reports,
 * which are a little old, so a request without a shared prefix goes to one of the several best
 * replicas, in an order that differs for each request.
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

    /** Ratio to the lowest cost up to which a replica counts as one of the best. */
    private static final double BEST_MARGIN = 1.25;

    private final ReplicaLoads mLoads;
    private final ReplicaSpeeds mSpeeds;
    private final Mechanisms mMechanisms;

    private PrefixPlacement(ReplicaLoads loads, ReplicaSpeeds speeds, Mechanisms mechanisms) {
        mLoads = loads;
        mSpeeds = speeds;
        mMechanisms = mechanisms;
    }

    /** Returns a placement that compares replicas by the given loads. */
    public static PrefixPlacement create(ReplicaLoads loads) {
        return create(loads, Mechanisms.all());
    }

    /** Returns a placement that compares replicas by the given loads, with some mechanisms only. */
    public static PrefixPlacement create(ReplicaLoads loads, Mechanisms mechanisms) {
        return create(loads, ReplicaSpeeds.create(), mechanisms);
    }

    /** Returns a placement that also takes the speeds of the replicas into account. */
    public static PrefixPlacement create(
            ReplicaLoads loads, ReplicaSpeeds speeds, Mechanisms mechanisms) {
        return new PrefixPlacement(loads, speeds, mechanisms);
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
            if (mSpeeds.isAnyReported()) {
                belowLimit = belowLimit.and(keepsPrefix(loadBasis, affinity, nowNanos));
            }
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
        if (mSpeeds.isAnyReported()) {
            int index = oneOfTheBest(set, loadBasis, affinity, filter, nowNanos);
            return index < 0 ? Optional.empty() : Optional.of(set.replica(index));
        }
        var candidates = candidates(set, affinity, filter, replica -> false, nowNanos);
        candidates.next();
        int index = candidates.leastLoaded();
        return index < 0 ? Optional.empty() : Optional.of(set.replica(index));
    }

    /**
     * Returns the first replica by rank whose cost is close to the lowest one; -1 if the filter
     * allows none.
     */
    private int oneOfTheBest(
            ReplicaSet set,
            ReplicaSet loadBasis,
            Affinity affinity,
            ReplicaFilter filter,
            long nowNanos) {
        Slowness slowness = mSpeeds.slowness(loadBasis, nowNanos);
        double lowest = Double.POSITIVE_INFINITY;
        for (var replica : set.replicas()) {
            double cost = cost(replica, slowness, nowNanos);
            if (cost < lowest && filter.allows(replica)) {
                lowest = cost;
            }
        }
        double margin = BEST_MARGIN * lowest;
        ReplicaFilter best = replica -> cost(replica, slowness, nowNanos) <= margin;
        return candidates(set, affinity, filter, best, nowNanos).next();
    }

    /**
     * Returns the expected time to the first byte of one more request, in multiples of what a usual
     * replica without other requests needs: its slots are shared, and each request there takes
     * longer by the slowness.
     */
    private double cost(Replica replica, Slowness slowness, long nowNanos) {
        double held = mLoads.placementLoad(replica.node(), nowNanos);
        return slowness.of(replica.node()) * (held + 1) / replica.weight();
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

    /**
     * Returns a filter for the replicas that keep a prefix for which they rank first. A slow
     * replica keeps only part of its prefixes, always the same ones, so that the other ones are
     * computed at one other replica each and not at several by turns.
     */
    private ReplicaFilter keepsPrefix(ReplicaSet set, Affinity affinity, long nowNanos) {
        Slowness slowness = mSpeeds.slowness(set, nowNanos);
        return replica -> {
            double factor = slowness.of(replica.node());
            return factor <= 1 || draw(affinity, replica) < 1 / factor;
        };
    }

    /** Returns a number in [0, 1) that depends on the key and the replica only. */
    private static double draw(Affinity affinity, Replica replica) {
        long seed = Hashing.komihash5_0().hashCharsToLong(replica.node().name());
        long bits = Hashing.komihash5_0().hashLongLongToLong(affinity.key(), seed);
        return (bits >>> 11) * 0x1p-53;
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
