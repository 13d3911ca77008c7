package org.fescueport.internal.decision.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Divides what the replicas of a pool can begin among the teams, by max-min fairness: no team gets
 * more than it asks for, and no team that asks for more than it gets receives less than another.
 * Immutable.
 */
public final class FairShares {
    private final Map<TeamKey, Double> mGrantedFractions;
    private final double mOtherFraction;
    private final double mGranted;

    private FairShares(
            Map<TeamKey, Double> grantedFractions, double otherFraction, double granted) {
        mGrantedFractions = grantedFractions;
        mOtherFraction = otherFraction;
        mGranted = granted;
    }

    /**
     * Returns the shares of a fleet.
     *
     * @param fleet demand of all nodes
     * @param capacity requests per second that the replicas can begin
     */
    public static FairShares of(PoolDemand fleet, double capacity) {
        double level = level(fleet, capacity);
        Map<TeamKey, Double> fractions = new HashMap<>();
        double granted = 0;
        for (var team : fleet.largest()) {
            double grant = Math.min(team.offered(), level);
            fractions.put(team.team(), fraction(grant, team.offered()));
            granted += grant;
        }
        double others = Math.min(fleet.otherOffered(), fleet.otherTeams() * level);
        return new FairShares(
                Map.copyOf(fractions), fraction(others, fleet.otherOffered()), granted + others);
    }

    /** Returns the fraction of the team's demand that is granted, from 0 to 1. */
    public double grantedFraction(TeamKey team) {
        return mGrantedFractions.getOrDefault(team, mOtherFraction);
    }

    /** Returns the requests per second that are granted to all teams together. */
    public double granted() {
        return mGranted;
    }

    private static double fraction(double part, double whole) {
        return whole <= 0 ? 1 : part / whole;
    }

    /**
     * Returns the rate above which a team's demand is cut. The further teams count as equally
     * large, each of them at most as large as the smallest of those that are known one by one.
     */
    private static double level(PoolDemand fleet, double capacity) {
        double left = capacity;
        int teams = fleet.largest().size() + fleet.otherTeams();
        if (fleet.otherTeams() > 0) {
            double each = fleet.otherOffered() / fleet.otherTeams();
            if (each * teams >= left) {
                return left / teams;
            }
            left -= fleet.otherOffered();
            teams -= fleet.otherTeams();
        }
        for (var team : fleet.largest().reversed()) {
            if (team.offered() * teams >= left) {
                return left / teams;
            }
            left -= team.offered();
            teams--;
        }
        return Double.POSITIVE_INFINITY;
    }
}
