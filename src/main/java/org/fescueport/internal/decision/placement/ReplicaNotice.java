package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.Optional;

/**
 * What an answer of a replica says about new work.
 *
 * @param leaving whether the replica takes no new work any more
 * @param pause for which the replica wants no request from the node that it answers
 * @param unreadable names and values that say something about new work and cannot be read
 */
public record ReplicaNotice(
        boolean leaving, Optional<Duration> pause, Optional<String> unreadable) {
    /** Says nothing. */
    public static final ReplicaNotice NONE =
            new ReplicaNotice(false, Optional.empty(), Optional.empty());

    /** Returns whether there is nothing to take note of. */
    public boolean isEmpty() {
        return !leaving && pause.isEmpty() && unreadable.isEmpty();
    }
}
