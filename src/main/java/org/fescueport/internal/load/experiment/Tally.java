package org.fescueport.internal.load.experiment;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.HdrHistogram.Histogram;
import org.fescueport.internal.decision.admission.PollResult;
import org.fescueport.internal.decision.admission.RefusalReason;

/** Counts the outcomes of an experiment after its warm-up. */
final class Tally {
    private static final int DIGITS = 3;

    private final long mFromNanos;
    private final VirtualTime mTime;
    private final Map<RefusalReason, Long> mRefusals = new EnumMap<>(RefusalReason.class);
    private BiConsumer<Job, FakeReplica> mNext = (job, replica) -> {};

    final Histogram mOthersMillis = new Histogram(DIGITS);
    final Histogram mSurgingMillis = new Histogram(DIGITS);
    final Histogram mGiveUpMicros = new Histogram(DIGITS);
    long mFinished;
    long mInTime;
    long mRefused;
    long mOthersRefused;
    long mAttempts;
    long mArrived;
    long mUnreachable;
    long mPromptTokens;
    long mCachedTokens;
    long mImportedTokens;
    long mHandedOver;

    Tally(VirtualTime time, long fromNanos) {
        mTime = time;
        mFromNanos = fromNanos;
    }

    /** Sets who hears of each job's end; the replica is null when it was refused. */
    void setNext(BiConsumer<Job, FakeReplica> next) {
        mNext = next;
    }

    boolean counts() {
        return mTime.now() >= mFromNanos;
    }

    void onAttempt(Job job) {
        if (counts()) {
            mAttempts++;
            mArrived += job.mAttempt == 1 ? 1 : 0;
        }
    }

    void onUnreachable() {
        mUnreachable += counts() ? 1 : 0;
    }

    double attemptsPerArrival() {
        return (double) mAttempts / Math.max(1, mArrived);
    }

    void onRefusal(RefusalReason reason) {
        if (counts()) {
            mRefusals.merge(reason, 1L, Long::sum);
        }
    }

    void onRefused(Job job) {
        if (counts()) {
            mRefused++;
            mOthersRefused += job.mTeam == 0 ? 0 : 1;
        }
        mNext.accept(job, null);
    }

    /** Takes a request that was given up, and how long after it had turned hopeless. */
    void onGivenUp(PollResult.Dropped givenUp, long lateNanos) {
        onRefusal(givenUp.reason());
        if (givenUp.reason() == RefusalReason.DEADLINE && counts()) {
            mGiveUpMicros.recordValue(Math.max(0, lateNanos) / 1_000);
        }
    }

    void onFinished(Job job, FakeReplica replica, long now) {
        if (counts()) {
            mFinished++;
            mInTime += job.mIsCut ? 0 : 1;
            long millis = (now - job.mArrivedNanos) / VirtualTime.MILLI;
            (job.mTeam == 0 ? mSurgingMillis : mOthersMillis).recordValue(millis);
            if (job.mReturning) {
                mPromptTokens += job.mPromptTokens;
                mCachedTokens += job.mCachedTokens;
                mImportedTokens += Math.min(job.mImportedTokens, job.mCachedTokens);
            }
        }
        mNext.accept(job, replica);
    }

    void onHandover(int chats) {
        mHandedOver += chats;
    }

    /** Requests of the teams but team 0. */
    long others() {
        return mOthersRefused + mOthersMillis.getTotalCount();
    }

    double reuse() {
        return mPromptTokens == 0 ? 0 : (double) mCachedTokens / mPromptTokens;
    }

    double importedShare() {
        return mPromptTokens == 0 ? 0 : (double) mImportedTokens / mPromptTokens;
    }

    double refusedShare() {
        return (double) mRefused / Math.max(1, mRefused + mFinished);
    }

    double attemptsPerRequest() {
        return (double) mAttempts / Math.max(1, mRefused + mFinished);
    }

    Map<RefusalReason, Long> refusals() {
        return mRefusals;
    }
}
