package org.fescueport.internal.decision.order;

/** What an agent must do with an order for its engine. */
public sealed interface OrderDecision {
    /** Send the order to the engine now and call {@link OrderGuard#finished} afterwards. */
    record Run() implements OrderDecision {}

    /** Refuse the order: its fencing token is older than {@code newestToken}. */
    record Refuse(long newestToken) implements OrderDecision {}

    /** Another order is running; offer this one again when it has finished. */
    record Busy() implements OrderDecision {}

    /** Read the lease from the log, call {@link OrderGuard#confirmed} and offer the order again. */
    record Confirm() implements OrderDecision {}
}
