package org.fescueport.internal.decision.lease;

import java.util.Map;
import java.util.UUID;

/** A record of the lease stream. */
public sealed interface LeaseRecord {
    /**
     * Claims, renews or releases a lease.
     *
     * @param lease the name of the lease
     * @param base the offset of the lease's last accepted record that the claimant knew; 0 for none
     * @param durationMillis how long the lease lasts from when the record is appended; 0 to release
     *     it
     * @param nonce chosen by the claimant, so that it can identify its own record in the stream
     */
    record Claim(String lease, LeaseHolder holder, long base, long durationMillis, UUID nonce)
            implements LeaseRecord {}

    /**
     * The state of all leases at a position, for readers that start when the log no longer holds
     * the older records.
     *
     * @param position the first offset that the snapshot does not include
     * @param leases the leases by name
     */
    record Snapshot(long position, Map<String, LeaseState> leases) implements LeaseRecord {
        public Snapshot {
            leases = Map.copyOf(leases);
        }
    }

    /** A record without effect: the record at offset 0, or one that can't be decoded. */
    record NoOp() implements LeaseRecord {}
}
