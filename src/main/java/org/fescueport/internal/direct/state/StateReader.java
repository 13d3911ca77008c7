package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.Optional;
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

    /** Before a waiting read is repeated that came back at once without a record. */
    private static final Duration EMPTY_RESPONSE_PAUSE = Duration.ofMillis(250);

    private static final Duration INITIAL_RETRY_PAUSE = Duration.ofMillis(150);
    private static final Duration MAX_RETRY_PAUSE = Duration.ofMillis(600);

    /** Takes what was read, and how the reading goes. */
    public interface Listener {
        /** Called with the records of each reading. */
        void onBatch(RecordBatch batch);

        /** Called after each reading of the replicas, which come at a steady pace. */
        void onReplicasRead(boolean answered);
    }

    private final StateStore mStore;
    private final EraTracker mEras;
    private final FleetView mView;
    private final Listener mListener;
    private final ScheduledExecutorService mLoop;
    private final Clock mClock;
    private final EventLog mLog;
    private final TopicReader mConfigurations = new TopicReader(StateTopic.CONFIGURATION);
    private final TopicReader mReplicas = new TopicReader(StateTopic.REPLICAS);
    private boolean mActive;
    private boolean mReachable = true;
    private boolean mStopped;

    private StateReader(
            StateStore store,
            EraTracker eras,
            FleetView view,
            Listener listener,
            ScheduledExecutorService loop,
            Clock clock,
            EventLog log) {
        mStore = store;
        mEras = eras;
        mView = view;
        mListener = listener;
        mLoop = loop;
        mClock = clock;
        mLog = log;
    }

    /** Returns a reader that has not begun. */
    public static StateReader create(
            StateStore store,
            EraTracker eras,
            FleetView view,
            Listener listener,
            ScheduledExecutorService loop,
            Clock clock,
            EventLog log) {
        return new StateReader(store, eras, view, listener, loop, clock, log);
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
            mConfigurations.mGeneration++;
            mReplicas.mGeneration++;
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

    private void onStoreAnswered() {
        if (!mReachable) {
            mReachable = true;
            mView.onStoreRecovered(mClock.monotonicTime());
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
    private final class TopicReader {
        private final StateTopic mTopic;
        private int mFailures;
        private int mHistoryGoneCount;
        private long mGeneration;

        TopicReader(StateTopic topic) {
            mTopic = topic;
        }

        /**
         * Begins anew; what is still under way for an earlier turn is applied, but not followed.
         */
        void restart() {
            mGeneration++;
            StorePosition next = mView.next(mTopic);
            if (next.offset() == 0 || next.era() != mEras.current()) {
                readNewest();
            } else {
                readNext();
            }
        }

        void readNewest() {
            long generation = mGeneration;
            mStore.newest(mTopic)
                    .whenComplete(
                            (page, failure) -> {
                                Optional<StoreException> lost = asStoreException(failure);
                                if (lost.isEmpty()) {
                                    lost = applyBatch(RecordBatch.whole(mTopic, page));
                                }
                                scheduleNext(generation, lost, interval(), this::readNewest);
                            });
        }

        private void readNext() {
            long turn = mGeneration;
            StorePosition from = mView.next(mTopic);
            Duration wait = mTopic == StateTopic.CONFIGURATION ? CONFIGURATION_WAIT : Duration.ZERO;
            long startedAtNanos = mClock.monotonicTime();
            mStore.read(mTopic, from, wait)
                    .whenComplete(
                            (page, failure) -> {
                                Optional<StoreException> lost = asStoreException(failure);
                                Duration pause = interval();
                                if (lost.isEmpty()) {
                                    lost = applyBatch(RecordBatch.following(mTopic, from, page));
                                    pause = pauseAfter(page, startedAtNanos);
                                    mHistoryGoneCount = 0;
                                }
                                scheduleNext(turn, lost, pause, this::readNext);
                            });
        }

        /** Takes a batch in; returns why it can't be. */
        private Optional<StoreException> applyBatch(RecordBatch batch) {
            if (batch.end().era() != mEras.current()) {
                return Optional.of(
                        StoreException.of(
                                StoreException.Cause.FORMER_ERA, "an answer of a former era"));
            }
            if (!batch.whole() && batch.from().era() != batch.end().era()) {
                return Optional.of(
                        StoreException.of(
                                StoreException.Cause.HISTORY_GONE, "offsets of a former era"));
            }
            onStoreAnswered();
            mListener.onBatch(batch);
            return Optional.empty();
        }

        private Duration interval() {
            return mTopic == StateTopic.REPLICAS ? REPLICA_INTERVAL : Duration.ZERO;
        }

        /** A store that does not wait although it has nothing new must not be asked in a loop. */
        private Duration pauseAfter(StateStore.Page page, long requestedAtNanos) {
            boolean isEarly =
                    mClock.monotonicTime() - requestedAtNanos < CONFIGURATION_WAIT.toNanos() / 2;
            boolean idle = mTopic == StateTopic.CONFIGURATION && page.records().isEmpty();
            return idle && isEarly ? EMPTY_RESPONSE_PAUSE : interval();
        }

        private void scheduleNext(
                long generation, Optional<StoreException> failure, Duration pause, Runnable retry) {
            if (mStopped || generation != mGeneration) {
                return;
            }
            if (mTopic == StateTopic.REPLICAS) {
                mListener.onReplicasRead(failure.isEmpty());
            }
            if (failure.isEmpty()) {
                mFailures = 0;
                schedule(generation, pause, this::readNext);
                return;
            }
            if (failure.get().reason() == StoreException.Cause.HISTORY_GONE) {
                mHistoryGoneCount++;
                schedule(generation, retryPause(mHistoryGoneCount - 1), this::readNewest);
                return;
            }
            onFailure(mTopic, failure.get());
            mFailures++;
            schedule(generation, retryPause(mFailures), retry);
        }

        /** Returns how long to wait before a call that failed so many times in a row. */
        private static Duration retryPause(int failures) {
            if (failures == 0) {
                return Duration.ZERO;
            }
            Duration pause = INITIAL_RETRY_PAUSE.multipliedBy(1L << Math.min(failures - 1, 2));
            return pause.compareTo(MAX_RETRY_PAUSE) > 0 ? MAX_RETRY_PAUSE : pause;
        }

        private void schedule(long generation, Duration pause, Runnable task) {
            Runnable guarded =
                    () -> {
                        if (!mStopped && generation == mGeneration) {
                            task.run();
                        }
                    };
            mLoop.schedule(guarded, pause.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private static Optional<StoreException> asStoreException(Throwable failure) {
        if (failure == null) {
            return Optional.empty();
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof StoreException known) {
            return Optional.of(known);
        }
        throw new IllegalStateException("the store client failed in an unexpected way", cause);
    }
}
