package org.fescueport.internal.decision.order;

/** What an agent does with an order to its engine. */
public sealed interface OrderDecision {
    /** Pass it on now; {@link OrderGuard#finished} must follow. */
    record Run() implements OrderDecision {}

    /** Refuse it: a newer holder is known. */
    record Refuse(long newestToken) implements OrderDecision {}

    /** Another order runs; offer it again when that one has finished. */
    record Busy() implements OrderDecision {}

    /** Read the lease from the log, call {@link OrderGuard#confirmed}, and offer it again. */
    record Confirm() implements OrderDecision {}
}
