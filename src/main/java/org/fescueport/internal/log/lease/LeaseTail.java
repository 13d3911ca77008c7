package org.fescueport.internal.log.lease;

import java.util.Optional;
import org.fescueport.internal.decision.lease.LeaseFold;
import org.fescueport.internal.decision.lease.LeaseRecord;
import org.fescueport.internal.decision.lease.LeaseState;
import org.fescueport.internal.log.StreamFolder;
import org.fescueport.internal.log.StreamTail;
import org.fescueport.port.LogService.Entry;
import org.fescueport.port.LogService.Page;

/** Follows the leases' stream. Not thread-safe. */
final class LeaseTail implements StreamFolder<LeaseRecord.Snapshot> {
    /** The stream in which leases are kept. */
    static final String STREAM = "leases";

    /** Hears what the stream brings. */
    interface Listener {
        /** A claim was accepted. */
        void onAccepted(LeaseRecord.Claim claim, LeaseState state);

        /** A snapshot stands in the stream. */
        void onSnapshotSeen();

        /** The fold went on from a snapshot. */
        void onAdopted(LeaseFold fold);
    }

    private final Listener mListener;
    private final StreamTail<LeaseRecord.Snapshot> mTail = StreamTail.of(this);
    private LeaseFold mFold = LeaseFold.empty();

    LeaseTail(Listener listener) {
        mListener = listener;
    }

    LeaseFold fold() {
        return mFold;
    }

    long nextRead() {
        return mTail.nextRead();
    }

    StreamTail.Step take(Page page) {
        return mTail.take(page);
    }

    @Override
    public long position() {
        return mFold.position();
    }

    @Override
    public void skipTo(long position) {
        mFold.skipTo(position);
    }

    @Override
    public void apply(Entry entry) {
        var record = LeaseCodec.decode(entry.data());
        var state = mFold.apply(entry.offset(), entry.appendedAtMillis(), record);
        switch (record) {
            case LeaseRecord.Claim claim ->
                    state.ifPresent(accepted -> mListener.onAccepted(claim, accepted));
            case LeaseRecord.Snapshot snapshot -> mListener.onSnapshotSeen();
            case LeaseRecord.NoOp nothing -> {
                // Nothing changes.
            }
        }
    }

    @Override
    public Optional<LeaseRecord.Snapshot> snapshotIn(Entry entry) {
        return LeaseCodec.decode(entry.data()) instanceof LeaseRecord.Snapshot snapshot
                        && snapshot.position() <= entry.offset()
                ? Optional.of(snapshot)
                : Optional.empty();
    }

    @Override
    public long positionOf(LeaseRecord.Snapshot snapshot) {
        return snapshot.position();
    }

    @Override
    public boolean adopt(LeaseRecord.Snapshot snapshot) {
        if (snapshot.position() <= mFold.position()) {
            return false;
        }
        mFold = LeaseFold.at(snapshot);
        mListener.onAdopted(mFold);
        return true;
    }
}
