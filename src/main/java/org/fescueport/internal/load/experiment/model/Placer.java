package org.fescueport.internal.load.experiment.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.CandidateIterator;
import org.fescueport.internal.decision.placement.PrefixPlacement;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaSet;

/** How one router picks a replica: the product's own way, or one to compare it with. */
@FunctionalInterface
public interface Placer {
    /** Returns where the request goes, or nothing when the filter allows no replica. */
    Optional<Replica> choose(ReplicaSet set, Affinity affinity, ReplicaFilter filter, long now);

    /** Told what becomes of a request. */
    interface Watcher {
        /** One that does not look. */
        Watcher NONE = new Watcher() {};

        /** The answer begins. */
        default void onFirst(long now) {}

        /** The replica has refused the request. */
        default void onRefused(long now) {}

        /** The request failed at the replica. */
        default void onFailed(long now) {}
    }

    /** A request is sent to this replica; returns who is told what becomes of it. */
    default Watcher onSent(Replica replica, long now) {
        return Watcher.NONE;
    }

    /**
     * The answer to a call begins.
     *
     * @param sentNanos when the call was sent to the replica
     */
    default void onFirst(NodeId replica, Call call, long sentNanos, long now) {}

    /** The answer to a call is complete. */
    default void onComplete(NodeId replica, Call call, long now) {}

    /** Returns the product's own decision. */
    static Placer own(ReplicaLoads loads) {
        return PrefixPlacement.create(loads)::choose;
    }

    /** Returns one that looks at the load alone. */
    static Placer leastHeld(ReplicaLoads loads) {
        var placement = PrefixPlacement.create(loads);
        return (set, affinity, filter, now) ->
                placement.choose(set, new Affinity(affinity.key(), false), filter, now);
    }

    /** Returns one that looks at the prefix alone. */
    static Placer firstRank() {
        return (set, affinity, filter, now) -> {
            int index =
                    CandidateIterator.of(set, affinity, filter, ReplicaFilter.ALL, any -> 0).next();
            return index < 0 ? Optional.empty() : Optional.of(set.replica(index));
        };
    }

    /** Returns one that looks at nothing. */
    static Placer random(Random random) {
        return (set, affinity, filter, now) -> {
            List<Replica> left = new ArrayList<>(set.replicas());
            left.removeIf(replica -> !filter.allows(replica));
            return left.isEmpty()
                    ? Optional.empty()
                    : Optional.of(left.get(random.nextInt(left.size())));
        };
    }
}
