package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import org.fescueport.internal.direct.log.EventLog;

/**
 * Tracks the newest era of the store that this node has heard of, from the store itself or from
 * peers.
 *
 * <p>The era increases each time the store is restored from a backup that is some seconds old. It
 * never decreases here; an invalid era is logged once and ignored. Not thread-safe; used only on
 * the event loop.
 *
 * <pre>{@code
 * long eraOfResponse = eras.onResponse(new EraReport.Reported(4));
 * }</pre>
 */
public final class EraTracker {
    /** Notified when a new era has begun. */
    @FunctionalInterface
    public interface Listener {
        /** Called after the change. */
        void onNewEra();
    }

    /** More restores than any store will go through; a higher value is corrupt. */
    private static final long MAX_ERA = 1_000_000_000L;

    /** Time after a new era for which calls to the store are counted separately. */
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

    /** Returns a tracker that has not heard of any era. */
    public static EraTracker create(Clock clock, EventLog log) {
        return new EraTracker(clock, log);
    }

    /** Sets the listener for new eras. */
    public void listen(Listener listener) {
        mListener = listener;
    }

    /** Returns the newest known era; 0 if none has been reported. */
    public long current() {
        return mCurrent;
    }

    /**
     * Processes the era that a response of the store reports.
     *
     * @return the era that the response belongs to
     */
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

    /** Processes the newest era that a peer has heard of; 0 if it knows none. */
    public void onPeer(long era) {
        if (era > mCurrent && era <= MAX_ERA) {
            startEra(era, "peer");
        }
    }

    /** Counts a call to the store. */
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
