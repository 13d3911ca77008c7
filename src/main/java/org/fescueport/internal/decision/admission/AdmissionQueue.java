package org.fescueport.internal.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.placement.LoadBound;
import org.fescueport.internal.decision.placement.LoadReport;

/**
 * Decides which requests one replica runs, and when: priority classes in strict order, weighted
 * fair queueing over the teams of a class, and earliest deadline first within a team.
 *
 * <p>An offer that cannot be completed by its deadline is refused at once. A queued offer is
 * dropped as soon as it can no longer be completed by its deadline. The load never exceeds the load
 * bound, which is relative to the mean load of the pool. The last free slots are reserved for teams
 * that use less than their share. This class is not thread-safe.
 *
 * <pre>{@code
 * switch (queue.offer(offer, now)) {
 *     case AdmissionDecision.Admitted admitted -> start(offer);
 *     case AdmissionDecision.Queued queued -> {}
 *     case AdmissionDecision.Refused refused -> answerNotRun(refused);
 * }
 * PollResult result = queue.poll(now); // after each event, and at nextExpiryNanos()
 * }</pre>
 */
public final class AdmissionQueue {
    /** One in this many slots is reserved for teams that use less than their share. */
    private static final int RESERVED_SLOTS_DIVISOR = 8;

    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    /**
     * Multiple of the expected service time that must be left until the deadline when a queued
     * offer starts. The length of an answer is not known in advance, and an answer that is cut off
     * at its deadline has wasted its slot.
     */
    private static final int SERVICE_TIME_FACTOR = 2;

    private final AdmissionLimits mLimits;
    private LoadBound mLoadBound;
    private final ThroughputEstimate mThroughput;
    private final TreeMap<Integer, FairQueue> mQueuesByPriority = new TreeMap<>();
    private final Map<AttemptId, QueueEntry> mQueuedById = new HashMap<>();
    private final TreeSet<QueueEntry> mByLatestStart = new TreeSet<>(QueueEntry.BY_LATEST_START);
    private final TeamRegistry mTeams = new TeamRegistry(this::forget);
    private final RunningWork mRunning = new RunningWork();
    private final List<PollResult.Dropped> mDisplaced = new ArrayList<>();
    private long mQueuedTokens;
    private long mPoolMeanTokens;
    private long mSequence;
    private boolean mDraining;

    private AdmissionQueue(AdmissionLimits limits, ThroughputEstimate throughput) {
        mLimits = limits;
        mLoadBound = limits.loadBound();
        mThroughput = throughput;
    }

    /** Returns an empty queue; the caller keeps updating {@code throughput}. */
    public static AdmissionQueue create(AdmissionLimits limits, ThroughputEstimate throughput) {
        return new AdmissionQueue(limits, throughput);
    }

    /** Sets the mean load of the pool, in tokens, as learnt by gossip; 0 while it is unknown. */
    public void setPoolMeanTokens(long tokens) {
        mPoolMeanTokens = tokens;
    }

    /** Sets the load bound after its declaration has changed. */
    public void setLoadBound(LoadBound bound) {
        mLoadBound = bound;
    }

    /** Refuses new offers from now on; queued and running requests are still completed. */
    public void beginDrain() {
        mDraining = true;
    }

    /** Returns the load, as reported in responses and by gossip. */
    public LoadReport load() {
        long speed = Math.round(mThroughput.decodeTokensPerSecond() * Math.max(1, mRunning.size()));
        return new LoadReport(outstandingTokens(), mPoolMeanTokens, speed);
    }

    /** Returns the number of running requests. */
    public int running() {
        return mRunning.size();
    }

    /** Returns the number of queued requests. */
    public int queued() {
        return mQueuedById.size();
    }

    /** Decides about an offer; its id must not belong to a queued or running request. */
    public AdmissionDecision offer(WorkOffer offer, long nowNanos) {
        Invariants.check(!isKnown(offer.id()), "attempt %s was offered twice", offer.id());
        if (mDraining) {
            return new AdmissionDecision.Refused(RefusalReason.LEAVING, MIN_RETRY_AFTER_MILLIS);
        }
        mTeams.prune(nowNanos);
        var team = mTeams.touch(offer.team(), offer.teamWeight(), nowNanos);
        var queue =
                mQueuesByPriority.computeIfAbsent(offer.priority(), priority -> new FairQueue());
        long service = mThroughput.serviceTimeNanos(offer.work());
        long wait = expectedWaitNanos(queue, team, offer);
        long needed = wait == 0 ? service : wait + SERVICE_TIME_FACTOR * service;
        if (nowNanos + needed > offer.deadlineNanos()) {
            return refused(RefusalReason.DEADLINE, TimeUnit.NANOSECONDS.toMillis(wait));
        }
        var refusal = makeRoom(queue, team, offer, wait == 0);
        if (refusal != null) {
            return refusal;
        }
        Invariants.check(excessTokens(offer) == 0, "attempt %s exceeds the load bound", offer.id());
        long latestStart = offer.deadlineNanos() - SERVICE_TIME_FACTOR * service;
        var waiting = new QueueEntry(offer, latestStart, mSequence++);
        return wait == 0 ? start(queue, team, waiting) : enqueue(queue, team, waiting, wait);
    }

    /**
     * Starts the requests that may start, and drops those that can no longer meet their deadline or
     * were displaced.
     */
    public PollResult poll(long nowNanos) {
        var dropped = new ArrayList<>(mDisplaced);
        mDisplaced.clear();
        while (!mByLatestStart.isEmpty() && mByLatestStart.first().latestStartNanos() < nowNanos) {
            var expired = mByLatestStart.first();
            removeQueued(expired);
            dropped.add(dropped(expired, RefusalReason.DEADLINE));
        }
        var started = new ArrayList<WorkOffer>();
        while (mRunning.size() < mLimits.maxRunning()) {
            var next = startNext();
            if (next == null) {
                break;
            }
            started.add(next.offer());
        }
        return new PollResult(started, dropped);
    }

    /**
     * Returns the time after which the next queued request can no longer meet its deadline unless
     * it is started; {@link Long#MAX_VALUE} if none is queued.
     */
    public long nextExpiryNanos() {
        return mByLatestStart.isEmpty()
                ? Long.MAX_VALUE
                : mByLatestStart.first().latestStartNanos();
    }

    /** Records that the prefill of a running request is done. */
    public void onPrefilled(AttemptId id) {
        mRunning.onPrefilled(id);
    }

    /** Records tokens that were generated for the answer of a running request. */
    public void onTokens(AttemptId id, long tokens) {
        mRunning.onTokens(id, tokens);
    }

    /** Records that a running request has ended, with whatever outcome. */
    public void onFinished(AttemptId id) {
        var offer = mRunning.remove(id);
        if (offer != null) {
            mTeams.get(offer.team()).mRunning--;
        }
    }

    /** Removes a queued request that its caller abandoned; returns false if it is not queued. */
    public boolean cancel(AttemptId id) {
        var waiting = mQueuedById.get(id);
        if (waiting == null) {
            return false;
        }
        removeQueued(waiting);
        return true;
    }

    private boolean isKnown(AttemptId id) {
        return mQueuedById.containsKey(id) || mRunning.contains(id);
    }

    private long outstandingTokens() {
        return mRunning.loadTokens() + mQueuedTokens;
    }

    /** Returns the expected time in the queue; 0 if the offer may start at once. */
    private long expectedWaitNanos(FairQueue queue, TeamState team, WorkOffer offer) {
        double ahead = queue.tokensAhead(team, offer.deadlineNanos());
        for (var higher : mQueuesByPriority.headMap(offer.priority()).values()) {
            ahead += higher.tokens();
        }
        if (ahead == 0 && mayStart(team)) {
            return 0;
        }
        int running = Math.max(1, mRunning.size());
        double meanRemainingTokens = mRunning.remainingTokens() / (double) running;
        double seconds =
                (ahead + meanRemainingTokens) / (running * mThroughput.decodeTokensPerSecond());
        return Math.max(1, (long) (seconds * TimeUnit.SECONDS.toNanos(1)));
    }

    private boolean mayStart(TeamState team) {
        int free = mLimits.maxRunning() - mRunning.size();
        if (free <= 0) {
            return false;
        }
        int reserved = mLimits.maxRunning() / RESERVED_SLOTS_DIVISOR;
        return free > reserved || team.mRunning < mTeams.shareOf(team) * mLimits.maxRunning();
    }

    /**
     * Displaces as many queued requests as are needed for the offer to fit. Returns null if it
     * fits, else the refusal.
     */
    private AdmissionDecision.Refused makeRoom(
            FairQueue queue, TeamState team, WorkOffer offer, boolean starts) {
        long excess = excessTokens(offer);
        boolean full = !starts && mQueuedById.size() >= mLimits.maxQueued();
        if (excess <= 0 && !full) {
            return null;
        }
        if (displaceableTokens(queue, team, offer) >= Math.max(excess, 1)) {
            displace(queue, team, offer, starts);
        }
        if (excessTokens(offer) > 0) {
            long excessMillis = (long) (excessTokens(offer) * 1_000.0 / load().tokensPerSecond());
            return refused(RefusalReason.LOAD_BOUND, excessMillis);
        }
        if (!starts && mQueuedById.size() >= mLimits.maxQueued()) {
            return refused(RefusalReason.QUEUE_FULL, MIN_RETRY_AFTER_MILLIS);
        }
        return null;
    }

    /** Returns the tokens by which the load would exceed the bound with the offer. */
    private long excessTokens(WorkOffer offer) {
        long load = outstandingTokens();
        long more = offer.work().loadTokens();
        if (mPoolMeanTokens == 0 || mLoadBound.admits(load, more, mPoolMeanTokens)) {
            return 0;
        }
        // Replicas with a higher load have refused it, so the mean has risen above the estimate.
        if (load <= offer.leastRefusedTokens()) {
            return 0;
        }
        return (long) Math.ceil(load + more - mLoadBound.limit(mPoolMeanTokens));
    }

    private long displaceableTokens(FairQueue queue, TeamState team, WorkOffer offer) {
        long tokens = 0;
        for (var lower : mQueuesByPriority.tailMap(offer.priority(), false).values()) {
            tokens += lower.tokens();
        }
        var last = queue.lastOfLargestBacklog();
        if (last != null && hasLargerBacklog(queue, last, team, offer)) {
            tokens += queue.tokens();
        }
        return tokens;
    }

    private void displace(FairQueue queue, TeamState team, WorkOffer offer, boolean starts) {
        while (excessTokens(offer) > 0 || (!starts && mQueuedById.size() >= mLimits.maxQueued())) {
            var victim = nextVictim(queue, team, offer);
            if (victim == null) {
                return;
            }
            removeQueued(victim);
            mDisplaced.add(dropped(victim, RefusalReason.DISPLACED));
        }
    }

    private QueueEntry nextVictim(FairQueue queue, TeamState team, WorkOffer offer) {
        for (var lower :
                mQueuesByPriority.tailMap(offer.priority(), false).descendingMap().values()) {
            if (!lower.isEmpty()) {
                return lower.lastOfLargestBacklog();
            }
        }
        var last = queue.lastOfLargestBacklog();
        return last != null && hasLargerBacklog(queue, last, team, offer) ? last : null;
    }

    /**
     * Returns whether another team, without the candidate, still has at least the weighted backlog
     * that the offering team would have with its offer.
     */
    private boolean hasLargerBacklog(
            FairQueue queue, QueueEntry last, TeamState team, WorkOffer offer) {
        var other = mTeams.get(last.offer().team());
        return other != team
                && queue.weightedTokens(other, -last.loadTokens())
                        >= queue.weightedTokens(team, offer.work().loadTokens());
    }

    private AdmissionDecision start(FairQueue queue, TeamState team, QueueEntry waiting) {
        queue.charge(team, waiting);
        run(team, waiting.offer());
        return new AdmissionDecision.Admitted();
    }

    private AdmissionDecision enqueue(
            FairQueue queue, TeamState team, QueueEntry waiting, long waitNanos) {
        queue.add(team, waiting);
        mQueuedById.put(waiting.offer().id(), waiting);
        mByLatestStart.add(waiting);
        mQueuedTokens += waiting.loadTokens();
        team.mQueued++;
        Invariants.check(
                mQueuedById.size() <= mLimits.maxQueued(),
                "%s requests are queued, more than the limit",
                mQueuedById.size());
        return new AdmissionDecision.Queued(TimeUnit.NANOSECONDS.toMillis(waitNanos));
    }

    private QueueEntry startNext() {
        for (var queue : mQueuesByPriority.values()) {
            if (queue.isEmpty()) {
                continue;
            }
            var next = queue.take(this::mayStart);
            if (next != null) {
                untrack(next);
                run(mTeams.get(next.offer().team()), next.offer());
            }
            return next;
        }
        return null;
    }

    private void run(TeamState team, WorkOffer offer) {
        mRunning.add(offer);
        team.mRunning++;
        Invariants.check(
                mRunning.size() <= mLimits.maxRunning(),
                "%s requests run at once, more than the limit",
                mRunning.size());
    }

    private void removeQueued(QueueEntry waiting) {
        boolean removed = mQueuesByPriority.get(waiting.offer().priority()).remove(waiting);
        Invariants.check(removed, "attempt %s is not queued", waiting.offer().id());
        untrack(waiting);
    }

    private void untrack(QueueEntry waiting) {
        mQueuedById.remove(waiting.offer().id());
        mByLatestStart.remove(waiting);
        mQueuedTokens -= waiting.loadTokens();
        mTeams.get(waiting.offer().team()).mQueued--;
        Invariants.check(
                mQueuedTokens >= 0, "number of queued tokens is negative: %s", mQueuedTokens);
    }

    private PollResult.Dropped dropped(QueueEntry waiting, RefusalReason reason) {
        long remainingMillis =
                mRunning.remainingTokens() * 1_000 / Math.max(1, load().tokensPerSecond());
        return new PollResult.Dropped(
                waiting.offer(), reason, Math.max(MIN_RETRY_AFTER_MILLIS, remainingMillis));
    }

    private static AdmissionDecision.Refused refused(RefusalReason reason, long retryAfterMillis) {
        return new AdmissionDecision.Refused(
                reason, Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis));
    }

    private void forget(TeamId team) {
        mQueuesByPriority.values().forEach(queue -> queue.forget(team));
    }
}
