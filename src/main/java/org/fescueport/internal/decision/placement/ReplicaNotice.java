package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.Optional;

/**
 * What a replica's response says about whether the replica accepts new requests.
 *
 * @param leaving whether the replica accepts no new requests any more
 * @param pause time for which the replica asks the node that receives the response to send none
 * @param unreadable names and values of such statements that cannot be parsed
 */
public record ReplicaNotice(
        boolean leaving, Optional<Duration> pause, Optional<String> unreadable) {
    /** A notice without any statement. */
    public static final ReplicaNotice NONE =
            new ReplicaNotice(false, Optional.empty(), Optional.empty());

    /** Returns whether the notice makes no statement. */
    public boolean isEmpty() {
        return !leaving && pause.isEmpty() && unreadable.isEmpty();
    }
}
