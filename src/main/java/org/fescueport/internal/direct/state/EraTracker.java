package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import org.fescueport.internal.direct.log.EventLog;

/**
 * The newest era of the store that this node has heard of, from the store itself or from peers.
 *
 * <p>An era rises each time the store comes back from a copy that is some seconds old. It is
 * believed forward only; what cannot be an era is told once and passed over. Used by the event loop
 * alone.
 *
 * <pre>{@code
 * long eraOfTheAnswer = eras.onAnswer(new EraWord.Told(4));
 * }</pre>
 */
public final class EraTracker {
    /** Told when a new era has begun. */
    @FunctionalInterface
    public interface Listener {
        /** Called after the change. */
        void onNewEra();
    }

    /** More drills than any store will have seen; a word beyond is damage. */
    private static final long MAX_ERA = 1_000_000_000L;

    /** Calls are counted apart for so long after a new era. */
    private static final Duration CALL_COUNT_WINDOW = Duration.ofSeconds(10);

    private final Clock mClock;
    private final EventLog mLog;
    private Listener mListener = () -> {};
    private long mCurrent;
    private long mChangedNanos;
    private long mCallsAfterChange;
    private String mLastAnomaly = "";

    private EraTracker(Clock clock, EventLog log) {
        mClock = clock;
        mLog = log;
    }

    /** Returns a watch that has heard of no era. */
    public static EraTracker create(Clock clock, EventLog log) {
        return new EraTracker(clock, log);
    }

    /** Sets who is told of a new era that follows another one. */
    public void listen(Listener listener) {
        mListener = listener;
    }

    /** Returns the newest era; 0 while none has been told. */
    public long current() {
        return mCurrent;
    }

    /** Takes in what an answer of the store says; returns the era that the answer belongs to. */
    public long onResponse(EraReport word) {
        return switch (word) {
            case EraReport.Reported reported -> onReported(reported.era());
            case EraReport.Absent absent -> {
                if (mCurrent > 0) {
                    logOnce("missing");
                }
                yield mCurrent;
            }
            case EraReport.Unparseable unreadable -> {
                logOnce("unreadable: " + unreadable.text());
                yield mCurrent;
            }
        };
    }

    /** Takes in the newest era that a peer has heard of; 0 for none. */
    public void onPeer(long era) {
        if (era > mCurrent && era <= MAX_ERA) {
            startEra(era, "peer");
        }
    }

    /** Notes a call to the store. */
    public void onCall() {
        boolean isRecent = mClock.monotonicTime() - mChangedNanos < CALL_COUNT_WINDOW.toNanos();
        if (mCurrent > 0 && isRecent) {
            mCallsAfterChange++;
        }
    }

    /** Returns how many calls this node made within ten seconds after a new era. */
    public long callsAfterChange() {
        return mCallsAfterChange;
    }

    private long onReported(long era) {
        if (era <= 0 || era > MAX_ERA) {
            logOnce("impossible: " + era);
            return mCurrent;
        }
        if (era < mCurrent) {
            logOnce("went back: " + era);
            return era;
        }
        mLastAnomaly = "";
        if (era > mCurrent) {
            startEra(era, "store");
        }
        return era;
    }

    private void startEra(long era, String source) {
        long previous = mCurrent;
        mCurrent = era;
        mChangedNanos = mClock.monotonicTime();
        mLog.change("store-era")
                .with("era", era)
                .with("before", previous)
                .with("source", source)
                .write();
        mListener.onNewEra();
    }

    private void logOnce(String anomaly) {
        if (!anomaly.equals(mLastAnomaly)) {
            mLastAnomaly = anomaly;
            mLog.change("store-era-odd").with("word", anomaly).with("era", mCurrent).write();
        }
    }
}
