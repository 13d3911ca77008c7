package org.fescueport.internal.standin.engine;

import io.micrometer.core.instrument.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Lagging;

/**
 * Continuous batching: in each step every running sequence prefills a part of its prompt or
 * generates one token, and waiting ones join, the most urgent first. A step takes longer the more
 * sequences run. All state belongs to the single thread of the executor.
 */
final class BatchScheduler {
    /** A running generation. */
    interface Handle {
        /** Ends the generation; what was computed stays cached. */
        void cancel();

        /** Goes on after the reader did not keep up. */
        void resume();
    }

    private static final int PREFILL_TOKENS_PER_STEP = 2048;
    private static final long FREEZE_CHECK_MILLIS = 5;

    private final EngineSettings mSettings;
    private final Clock mClock;
    private final ScheduledExecutorService mExecutor;
    private final FaultSwitch mFaults;
    private final PrefixCache mCache;
    private final Runnable mCrash;
    private final Lagging<EngineStats> mLaggingStats;
    private final PriorityQueue<Sequence> mWaiting =
            new PriorityQueue<>(
                    Comparator.comparingInt((Sequence s) -> s.request().priority())
                            .thenComparingLong(Sequence::arrival));
    private final List<Sequence> mRunning = new ArrayList<>();
    private boolean mStepping;
    private long mArrivals;
    private long mRequests;
    private long mCompleted;
    private long mCancelled;
    private long mRefused;
    private long mPromptTokens;
    private long mCachedTokens;
    private long mGeneratedTokens;
    private volatile EngineStats mStats;

    private BatchScheduler(
            EngineSettings settings,
            Clock clock,
            ScheduledExecutorService executor,
            FaultSwitch faults,
            PrefixCache cache,
            Runnable crash) {
        mSettings = settings;
        mClock = clock;
        mExecutor = executor;
        mFaults = faults;
        mCache = cache;
        mCrash = crash;
        mStats = countStats();
        mLaggingStats = Lagging.of(mStats);
    }

    /**
     * Returns an idle scheduler.
     *
     * @param executor has one thread
     * @param crash ends the process
     */
    static BatchScheduler create(
            EngineSettings settings,
            Clock clock,
            ScheduledExecutorService executor,
            FaultSwitch faults,
            PrefixCache cache,
            Runnable crash) {
        return new BatchScheduler(settings, clock, executor, faults, cache, crash);
    }

    /** Queues a generation. */
    Handle submit(ChatRequest request, GenerationListener listener) throws BadRequestException {
        var tokens = request.remainingTokens();
        var sequence = Sequence.create(request, tokens, listener, nextArrival());
        mExecutor.execute(() -> enqueue(sequence));
        return new Handle() {
            @Override
            public void cancel() {
                mExecutor.execute(() -> end(sequence));
            }

            @Override
            public void resume() {
                mExecutor.execute(
                        () -> {
                            sequence.resume();
                            startStepping();
                        });
            }
        };
    }

    /** Returns the counts as they are now. */
    EngineStats stats() {
        return mStats;
    }

    /** Returns the counts as they were when the engine's lag began. */
    EngineStats laggingStats() {
        return mLaggingStats.get(mClock.wallTime(), mFaults.current().lagMillis());
    }

    private synchronized long nextArrival() {
        return mArrivals++;
    }

    private void enqueue(Sequence sequence) {
        mRequests++;
        if (mWaiting.size() >= mSettings.maxWaiting()) {
            mRefused++;
            sequence.refuse();
        } else {
            mWaiting.add(sequence);
        }
        publishStats();
        startStepping();
    }

    private void end(Sequence sequence) {
        if (sequence.ended()) {
            return;
        }
        sequence.cancel();
        mCancelled++;
        mWaiting.remove(sequence);
        if (mRunning.remove(sequence) && sequence.prefillLeft() == 0) {
            mCache.store(PrefixCache.blocksOf(sequence.contextTokens()));
        }
        publishStats();
    }

    private void startStepping() {
        if (!mStepping) {
            mStepping = true;
            beginStep();
        }
    }

    private void beginStep() {
        if (mFaults.current().freeze()) {
            mExecutor.schedule(this::beginStep, FREEZE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        admit();
        var work = StepWork.plan(mRunning, PREFILL_TOKENS_PER_STEP);
        if (work.isEmpty()) {
            mStepping = false;
            return;
        }
        mExecutor.schedule(() -> finishStep(work), costNanos(work), TimeUnit.NANOSECONDS);
    }

    private void admit() {
        while (mRunning.size() < mSettings.maxBatch() && !mWaiting.isEmpty()) {
            var sequence = mWaiting.remove();
            var blocks = PrefixCache.blocksOf(sequence.request().promptTokens());
            sequence.begin(mCache.cachedBlocks(blocks) * PrefixCache.BLOCK_TOKENS);
            mRunning.add(sequence);
        }
    }

    private long costNanos(StepWork work) {
        int others = Math.max(0, work.sequences() - 1);
        double step = mSettings.step().toNanos() * (1 + mSettings.batchSlowdown() * others);
        long prefill = mSettings.prefillPerToken().toNanos() * work.prefillTokens();
        long slow = TimeUnit.MILLISECONDS.toNanos(mFaults.current().slowMillis());
        return (long) step + prefill + slow;
    }

    private void finishStep(StepWork work) {
        work.prefills().forEach(this::prefill);
        work.decodes().forEach(this::decode);
        mRunning.removeIf(Sequence::ended);
        publishStats();
        beginStep();
    }

    private void prefill(Sequence sequence, int tokens) {
        if (sequence.ended()) {
            return;
        }
        crashIfPoisoned(sequence.request());
        if (sequence.prefill(tokens)) {
            mPromptTokens += sequence.usage().promptTokens();
            mCachedTokens += sequence.usage().cachedTokens();
            mCache.store(PrefixCache.blocksOf(sequence.request().promptTokens()));
        }
    }

    private void decode(Sequence sequence) {
        if (sequence.ended()) {
            return;
        }
        mGeneratedTokens++;
        if (sequence.decode()) {
            mCompleted++;
            mCache.store(PrefixCache.blocksOf(sequence.contextTokens()));
        }
    }

    private void crashIfPoisoned(ChatRequest request) {
        var word = mFaults.current().crashOn();
        if (!word.isEmpty() && request.promptText().contains(word)) {
            mCrash.run();
        }
    }

    private void publishStats() {
        mStats = countStats();
        mLaggingStats.set(mStats, mClock.wallTime());
    }

    private EngineStats countStats() {
        return new EngineStats(
                mRequests,
                mCompleted,
                mCancelled,
                mRefused,
                mPromptTokens,
                mCachedTokens,
                mGeneratedTokens,
                mRunning.size(),
                mWaiting.size(),
                mCache.size());
    }
}
