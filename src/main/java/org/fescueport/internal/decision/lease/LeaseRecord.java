package org.fescueport.internal.decision.lease;

import java.util.Map;
import java.util.UUID;

/** A record of the leases' stream. */
public sealed interface LeaseRecord {
    /**
     * Claims or renews a lease, or gives it back.
     *
     * @param base offset of the lease's last accepted record that the claimant knew; 0 for none
     * @param durationMillis 0 gives the lease back
     */
    record Claim(String lease, LeaseHolder holder, long base, long durationMillis, UUID nonce)
            implements LeaseRecord {}

    /** All leases below a position, for readers that start after older records are gone. */
    record Snapshot(long position, Map<String, LeaseState> leases) implements LeaseRecord {
        public Snapshot {
            leases = Map.copyOf(leases);
        }
    }

    /** Carries nothing: an opening, or a record that can't be read. */
    record NoOp() implements LeaseRecord {}
}
