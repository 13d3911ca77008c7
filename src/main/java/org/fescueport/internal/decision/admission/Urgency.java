package org.fescueport.internal.decision.admission;

/**
 * How urgent a request is among all others: first by who asks, then by what is asked.
 *
 * <pre>{@code
 * int urgency = Urgency.of(teamPriority.orElse(routePriority), routePriority);
 * }</pre>
 */
public final class Urgency {
    /** Kinds of requests of one priority that are told apart. */
    private static final int ROUTE_LEVELS = 4;

    private Urgency() {}

    /**
     * Returns one figure for both, 0 for the most urgent.
     *
     * @param priority that the team has, or else the route; 0 is the highest
     * @param routePriority of the route alone
     */
    public static int of(int priority, int routePriority) {
        return ROUTE_LEVELS * Math.max(0, priority)
                + Math.clamp(routePriority, 0, ROUTE_LEVELS - 1);
    }
}
