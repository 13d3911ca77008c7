package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.direct.log.EventLog;

/**
 * Keeps the view up to date from the shared store: configurations by long polling, replicas at a
 * fixed interval.
 *
 * <p>The reads of replicas detect an outage and its end soonest. When the store responds again, the
 * configuration is read at once too, so that a change made during the outage takes effect without
 * further delay. Not thread-safe; used only on the event loop.
 */
public final class StateReader {
    /** Well below the time after which a leaving replica must get no new requests. */
    private static final Duration REPLICA_INTERVAL = Duration.ofMillis(700);

    /**
     * Shorter than the time within which a new configuration must be in force, even if one call is
     * lost.
     */
    private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1_000);

    /** Pause after a long poll that returned at once without a record. */
    private static final Duration EMPTY_RESPONSE_PAUSE = Duration.ofMillis(250);

    private static final Duration INITIAL_RETRY_PAUSE = Duration.ofMillis(150);
    private static final Duration MAX_RETRY_PAUSE = Duration.ofMillis(600);

    /** Receives the records that were read and the result of each read. */
    public interface Listener {
        /** Called with the records of each successful read. */
        void onBatch(RecordBatch batch);

        /**
         * Called with replica records as they arrive while the first list is being read, so that
         * requests need not wait for the end of a long list.
         */
        void onFirstReplicas(List<StateRecord> records);

        /** Called after each read of the replicas, which happen at a fixed interval. */
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

    /** Returns a reader that has not been started. */
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

    /** Starts reading. */
    public void start() {
        mActive = true;
        refresh();
    }

    /** Starts reading from the store, or stops it because a peer provides the records. */
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

    /** Stops reading; no further calls are made. */
    public void stop() {
        mStopped = true;
    }

    /** Reads both topics now, because the view may have become outdated without notice. */
    public void refresh() {
        if (!mActive) {
            return;
        }
        mConfigurations.restart();
        mReplicas.restart();
    }

    /** Returns whether the last call to the store succeeded. */
    public boolean isStoreReachable() {
        return mReachable;
    }

    private void onStoreAnswered() {
        if (!mReachable) {
            mReachable = true;
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

    /** Reads one topic, one call at a time. */
    private final class TopicReader {
        private final StateTopic mTopic;
        private int mFailures;
        private int mHistoryGoneCount;
        private long mGeneration;

        TopicReader(StateTopic topic) {
            mTopic = topic;
        }

        /**
         * Starts over. The response to a call that is still in flight is applied, but no further
         * call follows it.
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
            mStore.newest(mTopic, this::onPart)
                    .whenComplete(
                            (page, failure) -> {
                                Optional<StoreException> lost = asStoreException(failure);
                                if (lost.isEmpty()) {
                                    lost = applyBatch(RecordBatch.whole(mTopic, page));
                                }
                                scheduleNext(generation, lost, interval(), this::readNewest);
                            });
        }

        private void onPart(List<StateRecord> records) {
            if (mTopic == StateTopic.REPLICAS && !mView.areReplicasListed()) {
                guarded(() -> mListener.onFirstReplicas(records));
            }
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

        /** Applies a batch; returns the reason if it cannot be applied. */
        private Optional<StoreException> applyBatch(RecordBatch batch) {
            if (batch.end().era() != mEras.current()) {
                return Optional.of(
                        StoreException.of(
                                StoreException.Cause.FORMER_ERA, "an answer of a former era"));
            }
            if (!batch.whole() && batch.from().era() != batch.end().era()) {
                return Optional.of(
                        StoreException.of(
                                StoreException.Cause.HISTORY_GONE,
                                "the requested offset is of an earlier era"));
            }
            onStoreAnswered();
            if (mTopic == StateTopic.REPLICAS) {
                mView.onStoreContact(mClock.monotonicTime());
            }
            guarded(() -> mListener.onBatch(batch));
            return Optional.empty();
        }

        /** Runs a part of the listener; a failure must not end the reading. */
        private void guarded(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException e) {
                mLog.change("fault").with("where", "read " + mTopic).with("cause", e).write();
            }
        }

        private Duration interval() {
            return mTopic == StateTopic.REPLICAS ? REPLICA_INTERVAL : Duration.ZERO;
        }

        /**
         * Returns the pause before the next read. A store that returns at once without new records
         * must not be called in a tight loop.
         */
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
                guarded(() -> mListener.onReplicasRead(failure.isEmpty()));
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
            boolean unreadable = failure.get().reason() == StoreException.Cause.UNREADABLE;
            // The records of the newest entries may be readable although those of a page are not.
            schedule(generation, retryPause(mFailures), unreadable ? this::readNewest : retry);
        }

        /** Returns the pause before the next call after this many consecutive failures. */
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

    private Optional<StoreException> asStoreException(Throwable failure) {
        if (failure == null) {
            return Optional.empty();
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof StoreException known) {
            return Optional.of(known);
        }
        mLog.change("fault").with("where", "store client").with("cause", cause).write();
        return Optional.of(
                StoreException.of(StoreException.Cause.UNREADABLE, String.valueOf(cause)));
    }
}
