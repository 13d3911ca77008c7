package org.fescueport.internal.decision.share;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.TeamId;

/**
 * What one node, and each team at it, may take of the replicas of a pool. Immutable.
 *
 * <p>A team's share of the fleet is divided among the nodes in proportion to its demand there. The
 * shares of its teams add up to that of the node.
 */
public final class NodeShare {
    /** All teams are equal and the limit is left alone, as nothing is known of other nodes. */
    public static final NodeShare NONE = new NodeShare(Map.of(), Set.of(), 1);

    /** Part of the distance to its share by which a node's limit is corrected. */
    private static final double GAIN = 0.5;

    private static final double MIN_FACTOR = 0.7;
    private static final double MAX_FACTOR = 1.5;

    /** Smallest weight, in requests per second, so that a team with few requests is not passed. */
    private static final double MIN_WEIGHT = 0.5;

    private static final double DEFAULT_WEIGHT = 1;

    private final Map<TeamKey, Double> mWeights;
    private final Set<TeamKey> mCut;
    private final double mLimitFactor;

    private NodeShare(Map<TeamKey, Double> weights, Set<TeamKey> cut, double limitFactor) {
        mWeights = weights;
        mCut = cut;
        mLimitFactor = limitFactor;
    }

    /**
     * Returns the share of a node.
     *
     * @param own teams at this node
     * @param fleet demand of all nodes, in which {@code own} is included
     */
    public static NodeShare of(List<TeamDemand> own, PoolDemand fleet) {
        double capacity = fleet.started();
        if (!fleet.isShort() || capacity <= 0) {
            return NONE;
        }
        var shares = FairShares.of(fleet, capacity);
        double entitled = 0;
        double started = 0;
        for (var team : own) {
            entitled += shares.grantedFraction(team.team()) * team.offered();
            started += team.started();
        }
        Map<TeamKey, Double> weights = new HashMap<>();
        Set<TeamKey> cut = new HashSet<>();
        for (var team : fleet.largest()) {
            if (shares.grantedFraction(team.team()) < 1) {
                cut.add(team.team());
            }
        }
        for (var team : own) {
            double fraction = shares.grantedFraction(team.team());
            weights.put(team.team(), Math.max(MIN_WEIGHT, fraction * team.offered()));
            if (fraction < 1) {
                cut.add(team.team());
            }
        }
        double factor = started <= 0 ? MAX_FACTOR : 1 + GAIN * (entitled / started - 1);
        return new NodeShare(
                Map.copyOf(weights), Set.copyOf(cut), Math.clamp(factor, MIN_FACTOR, MAX_FACTOR));
    }

    /**
     * Returns whether a team asks for no more than its share while others do, so that it need not
     * wait behind them.
     */
    public boolean isGranted(TeamId team) {
        return !mCut.isEmpty() && !mCut.contains(TeamKey.of(team));
    }

    /** Returns the weight of a team in the fair queues of this node; greater than 0. */
    public double weight(TeamId team) {
        return mWeights.getOrDefault(TeamKey.of(team), DEFAULT_WEIGHT);
    }

    /** Returns the factor by which this node's limit approaches its share. */
    public double limitFactor() {
        return mLimitFactor;
    }
}
