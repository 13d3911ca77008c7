package org.fescueport.internal.decision.admission;

import java.util.Comparator;

/**
 * An offer that waits.
 *
 * @param latestStartNanos last time at which it can start and still meet its deadline
 * @param sequence order of arrival
 */
record Waiting(WorkOffer offer, long latestStartNanos, long sequence) {
    /** Earliest deadline first. */
    static final Comparator<Waiting> BY_DEADLINE =
            Comparator.<Waiting>comparingLong(waiting -> waiting.offer().deadlineNanos())
                    .thenComparingLong(Waiting::sequence);

    /** The one that turns hopeless first comes first. */
    static final Comparator<Waiting> BY_LATEST_START =
            Comparator.comparingLong(Waiting::latestStartNanos)
                    .thenComparingLong(Waiting::sequence);

    long loadTokens() {
        return offer.work().loadTokens();
    }
}
