package org.fescueport.internal.log.config;

import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.Verdict;
import org.fescueport.platform.LogService.Entry;
import org.fescueport.platform.LogService.Page;

/**
 * Follows the stream page by page, and starts over from a snapshot when records that it needs are
 * no longer kept. Not thread-safe.
 */
final class ConfigTail {
    /** The stream in which the configuration is kept. */
    static final String STREAM = "config";

    /** What a page brought. */
    enum Step {
        /** More can be read at once. */
        MORE,
        /** Everything that the log had is folded. */
        CAUGHT_UP,
        /** Records are gone, and no snapshot covers them. */
        GAP,
        /** The log ends before what was already folded. */
        LOG_BEHIND
    }

    /** Hears of each record that was folded. */
    @FunctionalInterface
    interface Listener {
        void onRecord(Entry entry, ConfigRecord record, Verdict verdict);
    }

    private final Listener mListener;
    private ConfigFold mFold = ConfigFold.empty();
    private boolean mSearching;
    private long mSearchFrom;
    private ConfigRecord.Snapshot mFound;

    ConfigTail(Listener listener) {
        mListener = listener;
    }

    ConfigFold fold() {
        return mFold;
    }

    /** Returns the offset to read next. */
    long nextRead() {
        return mSearching ? mSearchFrom : mFold.position();
    }

    /** Takes a page that was read from {@link #nextRead()}. */
    Step take(Page page) {
        // Offset 0 is never a version, so a log that starts at 1 leaves no gap.
        if (page.firstOffset() == 1) {
            mFold.skipTo(1);
        }
        var gap = page.firstOffset() > mFold.position();
        if (!mSearching && gap) {
            mSearching = true;
            mSearchFrom = page.firstOffset();
            mFound = null;
        }
        return mSearching ? search(page) : apply(page);
    }

    /** Goes on from a snapshot, if it is ahead; a snapshot that isn't changes nothing. */
    boolean adopt(ConfigRecord.Snapshot snapshot) {
        if (snapshot.position() <= mFold.position() || snapshot.version() < mFold.version()) {
            return false;
        }
        var next = ConfigFold.at(snapshot);
        Invariants.check(next.version() >= mFold.version(), "a snapshot reverts a configuration");
        mFold = next;
        mSearching = false;
        return true;
    }

    /** Folds one record from anywhere; records below the position were folded before. */
    void apply(Entry entry) {
        if (entry.offset() < mFold.position()) {
            return;
        }
        var record = ConfigCodec.decode(entry.data());
        mListener.onRecord(entry, record, mFold.apply(entry.offset(), record));
    }

    private Step apply(Page page) {
        if (page.nextOffset() < mFold.position()) {
            return Step.LOG_BEHIND;
        }
        page.entries().forEach(this::apply);
        if (mFold.position() >= page.nextOffset()) {
            return Step.CAUGHT_UP;
        }
        return page.entries().isEmpty() ? Step.GAP : Step.MORE;
    }

    /** Looks for the newest snapshot from which every later record is still kept. */
    private Step search(Page page) {
        for (var entry : page.entries()) {
            mSearchFrom = Math.max(mSearchFrom, entry.offset() + 1);
            if (ConfigCodec.decode(entry.data()) instanceof ConfigRecord.Snapshot snapshot
                    && snapshot.position() <= entry.offset()
                    && (mFound == null || snapshot.position() > mFound.position())) {
                mFound = snapshot;
            }
        }
        if (mSearchFrom < page.nextOffset() && !page.entries().isEmpty()) {
            return Step.MORE;
        }
        mSearching = false;
        var usable = mFound != null && mFound.position() >= page.firstOffset();
        return usable && adopt(mFound) ? Step.MORE : Step.GAP;
    }
}
