package org.fescueport.internal.log;

import java.util.Optional;
import org.fescueport.port.LogService.Page;

/**
 * Follows a stream page by page, and starts over from a snapshot when records that it needs are no
 * longer kept. Not thread-safe.
 *
 * @param <S> a snapshot
 */
public final class StreamTail<S> {
    /** What a page brought. */
    public enum Step {
        /** More can be read at once. */
        MORE,
        /** Everything that the log had is folded. */
        CAUGHT_UP,
        /** Records are gone, and no snapshot covers them. */
        GAP,
        /** The log ends before what was already folded. */
        LOG_BEHIND
    }

    private final StreamFolder<S> mFolder;
    private boolean mSearching;
    private long mSearchFrom;
    private Optional<S> mFound = Optional.empty();

    private StreamTail(StreamFolder<S> folder) {
        mFolder = folder;
    }

    /** Returns a tail that feeds this fold. */
    public static <S> StreamTail<S> of(StreamFolder<S> folder) {
        return new StreamTail<>(folder);
    }

    /** Returns the offset to read next. */
    public long nextRead() {
        return mSearching ? mSearchFrom : mFolder.position();
    }

    /** Takes a page that was read from {@link #nextRead()}. */
    public Step take(Page page) {
        if (!mSearching && page.firstOffset() > mFolder.position()) {
            mSearching = true;
            mSearchFrom = page.firstOffset();
            mFound = Optional.empty();
        }
        return mSearching ? search(page) : apply(page);
    }

    private Step apply(Page page) {
        if (page.nextOffset() < mFolder.position()) {
            return Step.LOG_BEHIND;
        }
        page.entries().forEach(mFolder::apply);
        if (mFolder.position() >= page.nextOffset()) {
            return Step.CAUGHT_UP;
        }
        return page.entries().isEmpty() ? Step.GAP : Step.MORE;
    }

    /** Looks for the newest snapshot from which every later record is still kept. */
    private Step search(Page page) {
        for (var entry : page.entries()) {
            mSearchFrom = Math.max(mSearchFrom, entry.offset() + 1);
            mFolder.snapshotIn(entry).filter(this::isNewer).ifPresent(s -> mFound = Optional.of(s));
        }
        if (mSearchFrom < page.nextOffset() && !page.entries().isEmpty()) {
            return Step.MORE;
        }
        mSearching = false;
        var usable = mFound.filter(s -> mFolder.positionOf(s) >= page.firstOffset());
        return usable.filter(mFolder::adopt).isPresent() ? Step.MORE : Step.GAP;
    }

    private boolean isNewer(S snapshot) {
        return mFound.isEmpty() || mFolder.positionOf(snapshot) > mFolder.positionOf(mFound.get());
    }
}
