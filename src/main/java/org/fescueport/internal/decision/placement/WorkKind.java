package org.fescueport.internal.decision.placement;

/**
 * Requests whose answers take about as long on equal replicas, so that their times are comparable.
 *
 * @param route name of the route
 * @param size logarithm of the prompt's length; 0 without a prompt
 */
public record WorkKind(String route, int size) {
    /** Returns the kind of a request with a prompt of this length; each size spans a factor 2. */
    public static WorkKind of(String route, long promptTokens) {
        return new WorkKind(
                route, Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, promptTokens)));
    }
}
