package org.fescueport.internal.decision.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.Invariants;

/**
 * The holders of all leases as a fold over the lease stream: the state that results from applying
 * its records one by one, and that depends on nothing else.
 *
 * <p>A claim is accepted if its base is the lease's last accepted record. If that record is of
 * another holder, the lease must also have expired according to the append times of the log. A
 * claim that comes too early is therefore rejected, even if the claimant's clock is wrong. Not
 * thread-safe.
 */
public final class LeaseFold {
    private static final long FIRST_OFFSET = 1;

    private final Map<String, LeaseState> mLeases = new HashMap<>();
    private long mPosition = FIRST_OFFSET;

    private LeaseFold() {}

    /** Returns the fold of an empty stream. */
    public static LeaseFold empty() {
        return new LeaseFold();
    }

    /** Returns a fold with the state of a snapshot; the next record is at its position. */
    public static LeaseFold at(LeaseRecord.Snapshot snapshot) {
        var fold = new LeaseFold();
        fold.mPosition = snapshot.position();
        fold.mLeases.putAll(snapshot.leases());
        return fold;
    }

    /**
     * Applies the record at {@code offset}. A record below the current position has already been
     * applied and is ignored.
     *
     * @param appendedAtMillis the time at which the log appended the record, by the log's clock
     * @return the lease's new state if the record is a claim and was accepted; empty otherwise
     */
    public Optional<LeaseState> apply(long offset, long appendedAtMillis, LeaseRecord record) {
        if (offset < mPosition) {
            return Optional.empty();
        }
        mPosition = offset + 1;
        return switch (record) {
            case LeaseRecord.Claim claim -> evaluate(offset, appendedAtMillis, claim);
            case LeaseRecord.Snapshot snapshot -> Optional.empty();
            case LeaseRecord.NoOp noOp -> Optional.empty();
        };
    }

    /** Skips offsets for which the log holds no record. */
    public void skipTo(long position) {
        mPosition = Math.max(mPosition, position);
    }

    /** Returns the offset of the next record to apply. */
    public long position() {
        return mPosition;
    }

    /** Returns the state of a lease; empty if it was never held. */
    public Optional<LeaseState> lease(String name) {
        return Optional.ofNullable(mLeases.get(name));
    }

    /** Returns a snapshot of all leases at the current position. */
    public LeaseRecord.Snapshot snapshot() {
        return new LeaseRecord.Snapshot(mPosition, mLeases);
    }

    private Optional<LeaseState> evaluate(long offset, long atMillis, LeaseRecord.Claim claim) {
        var current = mLeases.get(claim.lease());
        var last = current == null ? 0 : current.last();
        if (claim.base() != last) {
            return Optional.empty();
        }
        var isRenewal = current != null && current.holder().equals(claim.holder());
        if (current != null && !isRenewal && !current.hasExpired(atMillis)) {
            return Optional.empty();
        }
        // A new term starts if the holder claims a lease again that it had released.
        var sameTerm = isRenewal && current.durationMillis() > 0;
        var token = sameTerm ? current.token() : offset;
        Invariants.check(current == null || token >= current.token(), "a fencing token decreased");
        var next = new LeaseState(claim.holder(), token, offset, atMillis, claim.durationMillis());
        mLeases.put(claim.lease(), next);
        return Optional.of(next);
    }
}
