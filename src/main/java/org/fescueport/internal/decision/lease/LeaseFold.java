package org.fescueport.internal.decision.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.Invariants;

/**
 * Who holds which lease, as a function of the log alone.
 *
 * <p>A claim is accepted if its base is the lease's last accepted record and, when another holder
 * made that one, if the lease has ended by the log's own clock. So a claimant that comes too early
 * loses, whatever its own clock says. Not thread-safe.
 */
public final class LeaseFold {
    private static final long FIRST_OFFSET = 1;

    private final Map<String, LeaseState> mLeases = new HashMap<>();
    private long mPosition = FIRST_OFFSET;

    private LeaseFold() {}

    /** Returns the fold of a stream with no records. */
    public static LeaseFold empty() {
        return new LeaseFold();
    }

    /** Returns the fold as a snapshot has it. */
    public static LeaseFold at(LeaseRecord.Snapshot snapshot) {
        var fold = new LeaseFold();
        fold.mPosition = snapshot.position();
        fold.mLeases.putAll(snapshot.leases());
        return fold;
    }

    /** Applies one record; returns the lease's new state if it was a claim that was accepted. */
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

    /** Moves over offsets that hold no record. */
    public void skipTo(long position) {
        mPosition = Math.max(mPosition, position);
    }

    /** Returns the offset of the next record to apply. */
    public long position() {
        return mPosition;
    }

    /** Returns the state of a lease; empty when nobody ever held it. */
    public Optional<LeaseState> lease(String name) {
        return Optional.ofNullable(mLeases.get(name));
    }

    /** Returns everything up to here as a snapshot. */
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
        // A lease that was given back and is taken again starts a new tenure.
        var sameTerm = isRenewal && current.durationMillis() > 0;
        var token = sameTerm ? current.token() : offset;
        Invariants.check(current == null || token >= current.token(), "a token went backward");
        var next = new LeaseState(claim.holder(), token, offset, atMillis, claim.durationMillis());
        mLeases.put(claim.lease(), next);
        return Optional.of(next);
    }
}
