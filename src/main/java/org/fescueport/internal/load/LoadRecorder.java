package org.fescueport.internal.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts and latencies of one target; safe to use from any thread. */
final class LoadRecorder {
    /** How a request ended. */
    enum Ending {
        /** The answer was the right one, to its end. */
        WHOLE,
        /** The answer broke off. */
        CUT,
        /** The answer came to its end, with another text than it must have. */
        WRONG,
        /** The request was answered with an error. */
        REFUSED,
        /** The request got no answer at all. */
        FAILED
    }

    private static final long HIGHEST_MICROS = 600_000_000L;
    private static final int DIGITS = 3;

    private final Histogram mTotal = histogram();
    private final Histogram mFirstToken = histogram();
    private final Histogram mBetweenTokens = histogram();
    private final Histogram mOthersBeforeSurge = histogram();
    private final Histogram mOthersInSurge = histogram();
    private final Map<Ending, LongAdder> mEndings = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> mStatuses = new ConcurrentHashMap<>();
    private final LongAdder mPromptTokens = new LongAdder();
    private final LongAdder mCachedTokens = new LongAdder();
    private final LongAdder mTokens = new LongAdder();

    void firstToken(long nanos) {
        mFirstToken.recordValue(micros(nanos));
    }

    void betweenTokens(long nanos) {
        mBetweenTokens.recordValue(micros(nanos));
    }

    /** Records the end of a request; {@code status} is 0 when none arrived. */
    void ended(Ending ending, String status, long nanos) {
        mEndings.computeIfAbsent(ending, unused -> new LongAdder()).increment();
        mStatuses.computeIfAbsent(status, unused -> new LongAdder()).increment();
        if (ending == Ending.WHOLE) {
            mTotal.recordValue(micros(nanos));
        }
    }

    /** Records a whole answer to a team that does not surge. */
    void endedOfOthers(boolean isInSurge, long nanos) {
        (isInSurge ? mOthersInSurge : mOthersBeforeSurge).recordValue(micros(nanos));
    }

    void tokens(int prompt, int cached, int completion) {
        mPromptTokens.add(prompt);
        mCachedTokens.add(cached);
        mTokens.add(completion);
    }

    Histogram total() {
        return mTotal;
    }

    Histogram firstToken() {
        return mFirstToken;
    }

    Histogram betweenTokens() {
        return mBetweenTokens;
    }

    Histogram othersBeforeSurge() {
        return mOthersBeforeSurge;
    }

    Histogram othersInSurge() {
        return mOthersInSurge;
    }

    long count(Ending ending) {
        LongAdder count = mEndings.get(ending);
        return count == null ? 0 : count.sum();
    }

    /** Returns counts by status and, for errors, their type. */
    Map<String, Long> statuses() {
        Map<String, Long> counts = new TreeMap<>();
        mStatuses.forEach((status, count) -> counts.put(status, count.sum()));
        return counts;
    }

    long promptTokens() {
        return mPromptTokens.sum();
    }

    long cachedTokens() {
        return mCachedTokens.sum();
    }

    long completionTokens() {
        return mTokens.sum();
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
    }

    private static long micros(long nanos) {
        return Math.min(HIGHEST_MICROS, Math.max(0, nanos / 1000));
    }
}
