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

    /** Takes what was read, and how the reading goes. */
    public interface Listener {
        /** Called with the records of each reading. */
        void onBatch(RecordBatch batch);

        /** Called after each reading of the replicas, which come at a steady pace. */
        void onRound(boolean answered);
    }

    private final StateStore mStore;
    private final FleetView mView;
    private final Listener mListener;
    private final ScheduledExecutorService mLoop;
    private final Clock mClock;
    private final EventLog mLog;
    private final Tail mConfigurations = new Tail(StateTopic.CONFIGURATION);
    private final Tail mReplicas = new Tail(StateTopic.REPLICAS);
    private boolean mActive;
    private boolean mReachable = true;
    private boolean mStopped;

    private StateReader(
            StateStore store,
            FleetView view,
            Listener listener,
            ScheduledExecutorService loop,
            Clock clock,
            EventLog log) {
        mStore = store;
        mView = view;
        mListener = listener;
        mLoop = loop;
        mClock = clock;
        mLog = log;
    }

    /** Returns a reader that has not begun. */
    public static StateReader create(
            StateStore store,
            FleetView view,
            Listener listener,
            ScheduledExecutorService loop,
            Clock clock,
            EventLog log) {
        return new StateReader(store, view, listener, loop, clock, log);
    }

    /** Begins to read. */
    public void start() {
        mActive = true;
        refresh();
    }

    /** Begins to read, or leaves it to a peer. */
    public void setActive(boolean active) {
        if (mActive == active || mStopped) {
            return;
        }
        mActive = active;
        mLog.change(active ? "reading-store" : "relying-on-peer").write();
        if (active) {
            refresh();
        } else {
            mConfigurations.mTurn++;
            mReplicas.mTurn++;
        }
    }

    /** Reads no more. */
    public void stop() {
        mStopped = true;
    }

    /** Reads both topics now; for when what is believed may have become old unnoticed. */
    public void refresh() {
        if (!mActive) {
            return;
        }
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
        private long mRounds;

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
                                    mListener.onBatch(RecordBatch.whole(mTopic, page));
                                }
                                follow(turn, failure, this::readNewest);
                            });
        }

        private void readOn() {
            long turn = mTurn;
            long from = mView.nextOffset(mTopic);
            Duration wait = mTopic == StateTopic.CONFIGURATION ? CONFIGURATION_WAIT : Duration.ZERO;
            mStore.read(mTopic, from, wait)
                    .whenComplete(
                            (page, failure) -> {
                                if (failure == null) {
                                    onAnswered();
                                    mListener.onBatch(RecordBatch.following(mTopic, from, page));
                                }
                                follow(turn, failure, this::readOn);
                            });
        }

        private void follow(long turn, Throwable failure, Runnable again) {
            if (mStopped || turn != mTurn) {
                return;
            }
            if (mTopic == StateTopic.REPLICAS) {
                mRounds++;
                mListener.onRound(failure == null);
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
