package org.fescueport.internal.load.experiment.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.fescueport.internal.load.experiment.VirtualTime;

/**
 * An engine that works in steps: each gives one token to every request that has been read, and
 * reads a chunk of the prompts of the others. Requests and kept parts share one memory; when it is
 * full, kept parts yield, then the newest of the least urgent requests, which is read again.
 */
public final class EngineModel implements Backend {
    /**
     * Sizes and speeds.
     *
     * @param slots requests in one step
     * @param queue requests that wait beyond those
     * @param memoryTokens of requests and kept parts together
     * @param stepNanos of a step with one request
     * @param stepNanosEach that each further request adds
     * @param readTokensPerMilli prompt tokens read in a millisecond
     * @param chunkTokens most that one step reads
     */
    public record Settings(
            int slots,
            int queue,
            long memoryTokens,
            long stepNanos,
            long stepNanosEach,
            double readTokensPerMilli,
            int chunkTokens) {}

    /** What was read and what yielded, since the start. */
    public record Counts(long readTokens, long sharedReadTokens, long preempted) {}

    private static final class Run {
        private final Call mCall;
        private final Listener mListener;
        private final long mNumber;
        private int mUnread;
        private int mProduced;
        private boolean mTold;

        Run(Call call, Listener listener, long number) {
            mCall = call;
            mListener = listener;
            mNumber = number;
        }

        long tokens() {
            return mCall.promptTokens() + mProduced;
        }
    }

    private static final Comparator<Run> BY_URGENCY =
            Comparator.<Run>comparingInt(run -> run.mCall.urgency())
                    .thenComparingLong(run -> run.mNumber);

    private final Settings mSettings;
    private final VirtualTime mTime;
    private final double mSlowness;
    private final PartCache mCache = new PartCache();
    private final List<Run> mRunning = new ArrayList<>();
    private final PriorityQueue<Run> mWaiting = new PriorityQueue<>(BY_URGENCY);
    private boolean mStepping;
    private long mNext;
    private long mRead;
    private long mSharedRead;
    private long mPreempted;

    private EngineModel(Settings settings, VirtualTime time, double slowness) {
        mSettings = settings;
        mTime = time;
        mSlowness = slowness;
    }

    /** Returns an idle engine that keeps nothing. */
    public static EngineModel create(Settings settings, VirtualTime time) {
        return create(settings, time, 1);
    }

    /**
     * Returns an idle engine that keeps nothing.
     *
     * @param slowness factor by which each step takes longer
     */
    public static EngineModel create(Settings settings, VirtualTime time, double slowness) {
        return new EngineModel(settings, time, slowness);
    }

    @Override
    public boolean offer(Call call, Listener listener) {
        boolean fits = call.promptTokens() + call.outputTokens() <= mSettings.memoryTokens();
        boolean full = held() >= mSettings.slots() + mSettings.queue();
        if (!fits || full) {
            return false;
        }
        mWaiting.add(new Run(call, listener, mNext++));
        if (!mStepping) {
            mStepping = true;
            beginStep();
        }
        return true;
    }

    @Override
    public int running() {
        return mRunning.size();
    }

    @Override
    public int held() {
        return mRunning.size() + mWaiting.size();
    }

    /** Returns what was read and what yielded. */
    public Counts counts() {
        return new Counts(mRead, mSharedRead, mPreempted);
    }

    private void beginStep() {
        dropOver();
        admit();
        if (mRunning.isEmpty()) {
            mStepping = false;
            return;
        }
        int read = readChunk();
        double reading = read / mSettings.readTokensPerMilli() * VirtualTime.MILLI;
        long others = mRunning.size() - 1L;
        double step = mSettings.stepNanos() + others * mSettings.stepNanosEach() + reading;
        mTime.after((long) (mSlowness * step), this::endStep);
    }

    private void endStep() {
        for (var run : List.copyOf(mRunning)) {
            if (run.mUnread == 0) {
                produce(run);
            }
        }
        yieldMemory();
        beginStep();
    }

    private void admit() {
        while (mRunning.size() < mSettings.slots() && !mWaiting.isEmpty()) {
            Run run = mWaiting.peek();
            if (usedTokens() + run.tokens() > mSettings.memoryTokens()) {
                return;
            }
            mWaiting.poll();
            run.mUnread = (int) run.tokens() - mCache.use(run.mCall.parts());
            mRunning.add(run);
        }
    }

    /** Reads on in the order of arrival; returns how many tokens. */
    private int readChunk() {
        int left = mSettings.chunkTokens();
        for (var run : mRunning) {
            int read = Math.min(left, run.mUnread);
            if (read > 0) {
                countRead(run, read);
                run.mUnread -= read;
                left -= read;
                if (run.mUnread == 0) {
                    mCache.keep(run.mCall.parts());
                }
            }
        }
        mCache.shrinkTo(Math.max(0, mSettings.memoryTokens() - usedTokens()));
        return mSettings.chunkTokens() - left;
    }

    /** The own part of a prompt comes last, so what is unread beyond it is shared. */
    private void countRead(Run run, int read) {
        int own = run.mCall.parts().getLast().tokens() + run.mProduced;
        mRead += read;
        mSharedRead += Math.min(read, Math.max(0, run.mUnread - own));
    }

    private void produce(Run run) {
        run.mProduced++;
        if (!run.mTold) {
            run.mTold = true;
            run.mListener.onFirst(run.mCall);
        }
        if (run.mProduced >= run.mCall.outputTokens()) {
            mRunning.remove(run);
            run.mListener.onEnded(run.mCall, true);
        }
    }

    private void yieldMemory() {
        while (usedTokens() > mSettings.memoryTokens() && mRunning.size() > 1) {
            Run last = mRunning.stream().max(BY_URGENCY).orElseThrow();
            mRunning.remove(last);
            mWaiting.add(last);
            mPreempted++;
        }
    }

    private void dropOver() {
        long now = mTime.now();
        for (var over :
                List.of(
                        mWaiting.stream().filter(run -> run.mCall.isOver(now)).toList(),
                        mRunning.stream().filter(run -> run.mCall.isOver(now)).toList())) {
            mWaiting.removeAll(over);
            mRunning.removeAll(over);
            over.forEach(run -> run.mListener.onEnded(run.mCall, false));
        }
    }

    private long usedTokens() {
        long used = 0;
        for (var run : mRunning) {
            used += run.tokens();
        }
        return used;
    }
}
