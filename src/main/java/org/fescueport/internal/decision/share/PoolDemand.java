package org.fescueport.internal.decision.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The demand for the replicas of a pool, at one node or at several: the teams with the largest
 * demand one by one, and the sum of the others.
 *
 * @param largest teams with the largest demand, in descending order
 * @param otherTeams number of further teams; of several nodes, the largest of their numbers
 * @param otherOffered requests per second of the further teams that arrived
 * @param otherStarted requests per second of the further teams whose response began
 * @param isShort whether offers that could have been in time were not sent
 */
public record PoolDemand(
        List<TeamDemand> largest,
        int otherTeams,
        double otherOffered,
        double otherStarted,
        boolean isShort) {
    /** Number of teams that are told one by one; a message of that many has about 130 bytes. */
    public static final int MAX_LARGEST = 12;

    /** No demand. */
    public static final PoolDemand NONE = new PoolDemand(List.of(), 0, 0, 0, false);

    private static final Comparator<TeamDemand> BY_DEMAND =
            Comparator.comparingDouble(TeamDemand::offered)
                    .reversed()
                    .thenComparingInt(demand -> demand.team().value());

    /** Returns the demand of these teams. */
    public static PoolDemand of(Collection<TeamDemand> teams, boolean isShort) {
        return cut(teams, 0, 0, 0, isShort);
    }

    /** Returns the sum of the demands of several nodes. */
    public static PoolDemand sum(Collection<PoolDemand> demands) {
        Map<TeamKey, TeamDemand> teams = new HashMap<>();
        int otherTeams = 0;
        double otherOffered = 0;
        double otherStarted = 0;
        boolean isShort = false;
        for (var demand : demands) {
            demand.largest().forEach(each -> teams.merge(each.team(), each, PoolDemand::add));
            otherTeams = Math.max(otherTeams, demand.otherTeams());
            otherOffered += demand.otherOffered();
            otherStarted += demand.otherStarted();
            isShort |= demand.isShort();
        }
        return cut(teams.values(), otherTeams, otherOffered, otherStarted, isShort);
    }

    /** Returns the requests per second that arrived. */
    public double offered() {
        return otherOffered + largest.stream().mapToDouble(TeamDemand::offered).sum();
    }

    /** Returns the requests per second whose response began. */
    public double started() {
        return otherStarted + largest.stream().mapToDouble(TeamDemand::started).sum();
    }

    private static TeamDemand add(TeamDemand a, TeamDemand b) {
        return new TeamDemand(a.team(), a.offered() + b.offered(), a.started() + b.started());
    }

    private static PoolDemand cut(
            Collection<TeamDemand> teams,
            int otherTeams,
            double otherOffered,
            double otherStarted,
            boolean isShort) {
        List<TeamDemand> sorted = new ArrayList<>(teams);
        sorted.sort(BY_DEMAND);
        int kept = Math.min(MAX_LARGEST, sorted.size());
        List<TeamDemand> rest = sorted.subList(kept, sorted.size());
        return new PoolDemand(
                List.copyOf(sorted.subList(0, kept)),
                Math.max(otherTeams, rest.size()),
                otherOffered + rest.stream().mapToDouble(TeamDemand::offered).sum(),
                otherStarted + rest.stream().mapToDouble(TeamDemand::started).sum(),
                isShort);
    }
}
