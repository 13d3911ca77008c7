package org.fescueport.internal.load.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.Work;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.admission.AdmissionLimits;
import org.fescueport.internal.decision.admission.AdmissionQueue;
import org.fescueport.internal.decision.admission.PollResult;
import org.fescueport.internal.decision.admission.ThroughputEstimate;
import org.fescueport.internal.decision.admission.WorkOffer;
import org.fescueport.internal.decision.gossip.MeanEstimate;
import org.fescueport.internal.decision.placement.Replica;

/** An agent's decisions in front of a stand-in engine that decodes at a steady speed. */
final class FakeReplica {
    /** Hears what becomes of jobs. */
    interface Listener {
        void onFinished(Job job, FakeReplica replica);

        /** Hears that its load may have changed, or that it is gone. */
        void onLoad(FakeReplica replica);

        void onGivenUp(Job job, PollResult.Dropped givenUp, long lateNanos);
    }

    private static final int EXPECTED_DECODE_TOKENS = 225;

    /** From the last part of the slots on, what a team gets depends on its share. */
    private static final int RESERVED_DIVISOR = 8;

    private final VirtualTime mTime;
    private final Listener mListener;
    private final Map<AttemptId, Job> mJobs = new HashMap<>();
    private final ArrayList<Job> mRunning = new ArrayList<>();
    private final ArrayList<Job> mPrefilling = new ArrayList<>();
    final int mNumber;
    final Replica mReplica;
    final AdmissionQueue mQueue;
    final PrefixCache mCache;
    final MeanEstimate mMean;
    boolean mAlive = true;
    private final int mMaxRunning;
    private long mArmedNanos;

    FakeReplica(int number, FleetSettings settings, VirtualTime time, Listener listener) {
        mNumber = number;
        mTime = time;
        mListener = listener;
        mMaxRunning = settings.maxRunning();
        var domain = FailureDomain.of("fd" + number % settings.domains());
        mReplica = Replica.of(NodeId.of("vm" + number), domain, "").withIncarnation(number + 1);
        var limits =
                new AdmissionLimits(settings.maxRunning(), settings.maxQueued(), settings.bound());
        var speeds =
                ThroughputEstimate.withInitialRates(
                        FleetSettings.PREFILL_PER_SECOND, FleetSettings.DECODE_PER_SECOND);
        mQueue = AdmissionQueue.create(limits, speeds);
        mMean = MeanEstimate.create(settings.leak(), settings.replicas());
        mCache = new PrefixCache(settings.cacheTokens());
    }

    /** Work of a job here, with the length of the answer expected, not known. */
    Work workOf(Job job) {
        int cached = Math.max(mCache.use(job.mChat), job.mImportedTokens);
        return Work.of(Math.max(0, job.mPromptTokens - cached), EXPECTED_DECODE_TOKENS);
    }

    AdmissionDecision offer(Job job) {
        account();
        var offer =
                new WorkOffer(
                        job.attemptId(),
                        job.teamId(),
                        1,
                        0,
                        job.mDeadlineNanos,
                        workOf(job),
                        job.mLeastRefusedTokens);
        var admission = mQueue.offer(offer, mTime.now());
        switch (admission) {
            case AdmissionDecision.Admitted admitted -> start(job);
            case AdmissionDecision.Queued queued -> mJobs.put(job.attemptId(), job);
            case AdmissionDecision.Refused refused -> {}
        }
        poll();
        return admission;
    }

    /** Brings the load up to date: a prefill that is done counts no more. */
    void update() {
        boolean changed = false;
        for (int i = mPrefilling.size() - 1; i >= 0; i--) {
            var job = mPrefilling.get(i);
            if (mTime.now() - job.mStartedNanos - prefillNanos(job) > 0) {
                mQueue.onPrefilled(job.attemptId());
                mPrefilling.remove(i);
                changed = true;
            }
        }
        if (changed) {
            mListener.onLoad(this);
        }
    }

    /** Tells the admission what was decoded, where something may have to wait by it. */
    private void account() {
        update();
        int busy = mQueue.running() + mMaxRunning / RESERVED_DIVISOR;
        if (mQueue.queued() == 0 && busy < mMaxRunning) {
            return;
        }
        for (var job : mRunning) {
            long since = mTime.now() - job.mStartedNanos - prefillNanos(job);
            if (since <= 0) {
                continue;
            }
            long decoded = (long) (since * FleetSettings.DECODE_PER_SECOND / VirtualTime.SECOND);
            mQueue.onTokens(job.attemptId(), decoded - job.mToldTokens);
            job.mToldTokens = decoded;
        }
    }

    long loadTokens() {
        return mQueue.load().outstandingTokens();
    }

    void fail() {
        mAlive = false;
        mListener.onLoad(this);
    }

    void revive() {
        mAlive = true;
        mListener.onLoad(this);
    }

    private void start(Job job) {
        var id = job.attemptId();
        job.mCachedTokens =
                Math.min(job.mPromptTokens, Math.max(mCache.use(job.mChat), job.mImportedTokens));
        job.mStartedNanos = mTime.now();
        mJobs.put(id, job);
        job.mToldTokens = 0;
        job.mSlot = mRunning.size();
        mRunning.add(job);
        mPrefilling.add(job);
        double decode = job.mDecodeTokens / FleetSettings.DECODE_PER_SECOND * VirtualTime.SECOND;
        long end = mTime.now() + prefillNanos(job) + (long) decode;
        // A router cancels what is not whole by its deadline.
        job.mIsCut = end > job.mDeadlineNanos;
        mTime.at(Math.min(end, job.mDeadlineNanos), () -> finish(job));
    }

    private static long prefillNanos(Job job) {
        double tokens = job.mPromptTokens - job.mCachedTokens;
        return (long) (tokens / FleetSettings.PREFILL_PER_SECOND * VirtualTime.SECOND);
    }

    private void finish(Job job) {
        var id = job.attemptId();
        mJobs.remove(id);
        var last = mRunning.removeLast();
        if (last != job) {
            mRunning.set(job.mSlot, last);
            last.mSlot = job.mSlot;
        }
        mPrefilling.remove(job);
        mQueue.onFinished(id);
        mCache.put(job.mChat, job.mPromptTokens + job.mDecodeTokens);
        account();
        poll();
        mListener.onFinished(job, this);
    }

    private void poll() {
        long late = mTime.now() - mQueue.nextExpiryNanos();
        var step = mQueue.poll(mTime.now());
        for (var given : step.dropped()) {
            mListener.onGivenUp(mJobs.remove(given.offer().id()), given, late);
        }
        for (var offer : step.started()) {
            start(mJobs.get(offer.id()));
        }
        armExpiry();
        mListener.onLoad(this);
    }

    /** Polls when the next waiting request turns hopeless, as an agent's timer does. */
    private void armExpiry() {
        long expiry = mQueue.nextExpiryNanos();
        boolean isArmed = mArmedNanos > mTime.now() && mArmedNanos <= expiry + 1;
        if (expiry != Long.MAX_VALUE && !isArmed) {
            mArmedNanos = expiry + 1;
            mTime.at(mArmedNanos, this::poll);
        }
    }
}
