package org.fescueport.internal.log.config;

import java.util.Optional;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.Verdict;
import org.fescueport.internal.log.StreamFolder;
import org.fescueport.internal.log.StreamTail;
import org.fescueport.port.LogService.Entry;
import org.fescueport.port.LogService.Page;

/** Follows the configuration's stream. Not thread-safe. */
final class ConfigTail implements StreamFolder<ConfigRecord.Snapshot> {
    /** The stream in which the configuration is kept. */
    static final String STREAM = "config";

    /** Hears of each record that was folded. */
    @FunctionalInterface
    interface Listener {
        void onRecord(Entry entry, ConfigRecord record, Verdict verdict);
    }

    private final Listener mListener;
    private final StreamTail<ConfigRecord.Snapshot> mTail = StreamTail.of(this);
    private ConfigFold mFold = ConfigFold.empty();

    ConfigTail(Listener listener) {
        mListener = listener;
    }

    ConfigFold fold() {
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
        if (entry.offset() < mFold.position()) {
            return;
        }
        var record = ConfigCodec.decode(entry.data());
        mListener.onRecord(entry, record, mFold.apply(entry.offset(), record));
    }

    @Override
    public Optional<ConfigRecord.Snapshot> snapshotIn(Entry entry) {
        return ConfigCodec.decode(entry.data()) instanceof ConfigRecord.Snapshot snapshot
                        && snapshot.position() <= entry.offset()
                ? Optional.of(snapshot)
                : Optional.empty();
    }

    @Override
    public long positionOf(ConfigRecord.Snapshot snapshot) {
        return snapshot.position();
    }

    @Override
    public boolean adopt(ConfigRecord.Snapshot snapshot) {
        if (snapshot.position() <= mFold.position() || snapshot.version() < mFold.version()) {
            return false;
        }
        var next = ConfigFold.at(snapshot);
        Invariants.check(next.version() >= mFold.version(), "a snapshot reverts a configuration");
        mFold = next;
        return true;
    }
}
