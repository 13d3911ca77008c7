package org.fescueport.internal.decision.admission;

import java.util.Comparator;

/**
 * An offer that waits.
 *
 * @param latestStartNanos last time at which it can start and still meet its deadline
 * @param sequence order of arrival
 */
record QueueEntry(WorkOffer offer, long latestStartNanos, long sequence) {
    /** Earliest deadline first. */
    static final Comparator<QueueEntry> BY_DEADLINE =
            Comparator.<QueueEntry>comparingLong(entry -> entry.offer().deadlineNanos())
                    .thenComparingLong(QueueEntry::sequence);

    /** The one that turns hopeless first comes first. */
    static final Comparator<QueueEntry> BY_LATEST_START =
            Comparator.comparingLong(QueueEntry::latestStartNanos)
                    .thenComparingLong(QueueEntry::sequence);

    long loadTokens() {
        return offer.work().loadTokens();
    }
}
