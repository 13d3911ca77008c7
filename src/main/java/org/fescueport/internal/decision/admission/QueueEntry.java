package org.fescueport.internal.decision.admission;

import java.util.Comparator;

/**
 * A queued offer.
 *
 * @param latestStartNanos last time at which it can start and still meet its deadline
 * @param sequence order of arrival
 */
record QueueEntry(WorkOffer offer, long latestStartNanos, long sequence) {
    /** Earliest deadline first. */
    static final Comparator<QueueEntry> BY_DEADLINE =
            Comparator.<QueueEntry>comparingLong(waiting -> waiting.offer().deadlineNanos())
                    .thenComparingLong(QueueEntry::sequence);

    /** The entry that expires first, because it can no longer meet its deadline, comes first. */
    static final Comparator<QueueEntry> BY_LATEST_START =
            Comparator.comparingLong(QueueEntry::latestStartNanos)
                    .thenComparingLong(QueueEntry::sequence);

    long loadTokens() {
        return offer.work().loadTokens();
    }
}
