package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.direct.log.EventLog;

/**
 * Keeps the view up to date from the shared store: configurations as they come, replicas at a pace.
 *
 * <p>The reading of replicas shows an outage soonest; it ends the wait for configurations too, so
 * that a change made during an outage is read at once when the store is back. Used by the event
 * loop alone.
 */
public final class StateReader {
    /** Well inside the time after which a leaving replica may get no new work. */
    private static final Duration REPLICA_INTERVAL = Duration.ofMillis(700);

    /**
     * Shorter than the time in which a configuration must be in force, also when a call is lost.
     */
    private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1_000);

    private static final Duration FIRST_RETRY = Duration.ofMillis(150);
    private static final Duration LONGEST_RETRY = Duration.ofMillis(600);

    private final StateStore mStore;
    private final FleetView mView;
    private final ScheduledExecutorService mLoop;
    private final Clock mClock;
    private final EventLog mLog;
    private final Tail mConfigurations = new Tail(StateTopic.CONFIGURATION);
    private final Tail mReplicas = new Tail(StateTopic.REPLICAS);
    private boolean mReachable = true;
    private boolean mStopped;

    private StateReader(
            StateStore store,
            FleetView view,
            ScheduledExecutorService loop,
            Clock clock,
            EventLog log) {
        mStore = store;
        mView = view;
        mLoop = loop;
        mClock = clock;
        mLog = log;
    }

    /** Returns a reader that has not begun. */
    public static StateReader create(
            StateStore store,
            FleetView view,
            ScheduledExecutorService loop,
            Clock clock,
            EventLog log) {
        return new StateReader(store, view, loop, clock, log);
    }

    /** Begins to read. */
    public void start() {
        mConfigurations.readNewest();
        mReplicas.readNewest();
    }

    /** Reads no more. */
    public void stop() {
        mStopped = true;
    }

    /** Reads both topics now; for when what is believed may have become old unnoticed. */
    public void refresh() {
        mConfigurations.restart();
        mReplicas.restart();
    }

    /** Returns whether the last call was answered. */
    public boolean isStoreReachable() {
        return mReachable;
    }

    private void onAnswered() {
        if (!mReachable) {
            mReachable = true;
            mView.onStoreRegained(mClock.monotonicTime());
            mLog.change("store-regained").write();
            mConfigurations.restart();
        }
    }

    private void onFailure(StateTopic topic, StoreException failure) {
        if (mReachable) {
            mReachable = false;
            mLog.change("store-lost")
                    .with("topic", topic)
                    .with("cause", failure.reason())
                    .with("message", failure.getMessage())
                    .write();
        }
    }

    /** Reads one topic, one call after the other. */
    private final class Tail {
        private final StateTopic mTopic;
        private int mFailures;
        private long mTurn;

        Tail(StateTopic topic) {
            mTopic = topic;
        }

        /**
         * Begins anew; what is still under way for an earlier turn is applied, but not followed.
         */
        void restart() {
            mTurn++;
            if (mView.nextOffset(mTopic) == 0) {
                readNewest();
            } else {
                readOn();
            }
        }

        void readNewest() {
            long turn = mTurn;
            mStore.newest(mTopic)
                    .whenComplete(
                            (page, failure) -> {
                                if (failure == null) {
                                    onAnswered();
                                    mView.replace(mTopic, page, mClock.monotonicTime());
                                }
                                follow(turn, failure, this::readNewest);
                            });
        }

        private void readOn() {
            long turn = mTurn;
            Duration wait = mTopic == StateTopic.CONFIGURATION ? CONFIGURATION_WAIT : Duration.ZERO;
            mStore.read(mTopic, mView.nextOffset(mTopic), wait)
                    .whenComplete(
                            (page, failure) -> {
                                if (failure == null) {
                                    onAnswered();
                                    mView.apply(mTopic, page, mClock.monotonicTime());
                                }
                                follow(turn, failure, this::readOn);
                            });
        }

        private void follow(long turn, Throwable failure, Runnable again) {
            if (mStopped || turn != mTurn) {
                return;
            }
            if (failure == null) {
                mFailures = 0;
                boolean paced = mTopic == StateTopic.REPLICAS;
                schedule(turn, paced ? REPLICA_INTERVAL : Duration.ZERO, this::readOn);
                return;
            }
            StoreException cause = asStoreException(failure);
            if (cause.reason() == StoreException.Cause.HISTORY_GONE) {
                schedule(turn, Duration.ZERO, this::readNewest);
                return;
            }
            onFailure(mTopic, cause);
            mFailures++;
            Duration pause = FIRST_RETRY.multipliedBy(1L << Math.min(mFailures - 1, 2));
            schedule(turn, pause.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : pause, again);
        }

        private void schedule(long turn, Duration pause, Runnable task) {
            Runnable guarded =
                    () -> {
                        if (!mStopped && turn == mTurn) {
                            task.run();
                        }
                    };
            mLoop.schedule(guarded, pause.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private static StoreException asStoreException(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof StoreException known) {
            return known;
        }
        throw new IllegalStateException("the store client failed in an unexpected way", cause);
    }
}
