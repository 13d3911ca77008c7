package org.fescueport.internal.decision.admission;

/**
 * Computes how urgent a request is among all others: first by the priority of the caller's team,
 * then by the priority of the route.
 *
 * <pre>{@code
 * int urgency = Urgency.of(teamPriority.orElse(routePriority), routePriority);
 * }</pre>
 */
public final class Urgency {
    /** Number of route priorities that are distinguished within one priority. */
    private static final int ROUTE_LEVELS = 4;

    private Urgency() {}

    /**
     * Combines both priorities into one urgency; 0 is the most urgent.
     *
     * @param priority priority of the team, or of the route if the team has none; 0 is the highest
     * @param routePriority priority of the route; 0 is the highest
     */
    public static int of(int priority, int routePriority) {
        return ROUTE_LEVELS * Math.max(0, priority)
                + Math.clamp(routePriority, 0, ROUTE_LEVELS - 1);
    }
}
