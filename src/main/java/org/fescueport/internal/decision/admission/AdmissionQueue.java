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
 * Decides what one replica runs, and when: priority classes in strict order, weighted fair queueing
 * over the teams of a class, and earliest deadline first inside a team.
 *
 * <p>An offer that cannot be completed by its deadline is refused at once, and one that turns
 * hopeless while it waits is given up. The load never goes above the bound beside the pool's mean.
 * A team that has its share already leaves the last free slots to the others. Not safe for use by
 * several threads.
 *
 * <pre>{@code
 * switch (queue.offer(offer, now)) {
 *     case Admission.Admitted admitted -> start(offer);
 *     case Admission.Queued queued -> {}
 *     case Admission.Refused refused -> answerNotRun(refused);
 * }
 * Step step = queue.poll(now); // after each event, and at nextExpiryNanos()
 * }</pre>
 */
public final class AdmissionQueue {
    /** Part of the slots that a team with its share already leaves free for the others. */
    private static final int RESERVED_SLOTS_DIVISOR = 8;

    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    /**
     * Multiple of the expected service time that must be left when waiting work starts: the length
     * of an answer is not known, and one that is cut off at its deadline wasted its slot.
     */
    private static final int SERVICE_TIME_FACTOR = 2;

    private final AdmissionLimits mLimits;
    private LoadBound mLoadBound;
    private final ThroughputEstimate mThroughput;
    private final TreeMap<Integer, FairQueue> mQueuesByPriority = new TreeMap<>();
    private final Map<AttemptId, QueueEntry> mQueued = new HashMap<>();
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

    /** Returns an empty queue; {@code speeds} goes on learning outside. */
    public static AdmissionQueue create(AdmissionLimits limits, ThroughputEstimate throughput) {
        return new AdmissionQueue(limits, throughput);
    }

    /** Takes the pool's mean load from the gossip; 0 while it is unknown. */
    public void setPoolMeanTokens(long tokens) {
        mPoolMeanTokens = tokens;
    }

    /** Takes a bound that was declared anew. */
    public void setLoadBound(LoadBound bound) {
        mLoadBound = bound;
    }

    /** Takes no new work from now on; what was taken is finished. */
    public void beginDrain() {
        mDraining = true;
    }

    /** Returns the load, as told in responses and in the gossip. */
    public LoadReport load() {
        long speed = Math.round(mThroughput.decodeTokensPerSecond() * Math.max(1, mRunning.size()));
        return new LoadReport(outstandingTokens(), mPoolMeanTokens, speed);
    }

    /** Returns how many requests run. */
    public int running() {
        return mRunning.size();
    }

    /** Returns how many requests wait. */
    public int queued() {
        return mQueued.size();
    }

    /** Decides about an offer; its id must not be known here already. */
    public AdmissionDecision offer(WorkOffer offer, long nowNanos) {
        Invariants.check(!isKnown(offer.id()), "attempt %s is offered twice", offer.id());
        if (mDraining) {
            return new AdmissionDecision.Refused(RefusalReason.LEAVING, MIN_RETRY_AFTER_MILLIS);
        }
        mTeams.prune(nowNanos);
        var team = mTeams.touch(offer.team(), offer.teamWeight(), nowNanos);
        var queue =
                mQueuesByPriority.computeIfAbsent(offer.priority(), priority -> new FairQueue());
        long serviceNanos = mThroughput.serviceTimeNanos(offer.work());
        long waitNanos = expectedWaitNanos(queue, team, offer);
        long neededNanos =
                waitNanos == 0 ? serviceNanos : waitNanos + SERVICE_TIME_FACTOR * serviceNanos;
        if (nowNanos + neededNanos > offer.deadlineNanos()) {
            return refused(RefusalReason.DEADLINE, TimeUnit.NANOSECONDS.toMillis(waitNanos));
        }
        var refusal = makeRoom(queue, team, offer, waitNanos == 0);
        if (refusal != null) {
            return refusal;
        }
        Invariants.check(excessTokens(offer) == 0, "attempt %s breaks the bound", offer.id());
        long latestStart = offer.deadlineNanos() - SERVICE_TIME_FACTOR * serviceNanos;
        var entry = new QueueEntry(offer, latestStart, mSequence++);
        return waitNanos == 0 ? start(queue, team, entry) : enqueue(queue, team, entry, waitNanos);
    }

    /** Starts what may start and gives up what turned hopeless or was displaced. */
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

    /** Returns the time at which the next waiting request turns hopeless, if it is not started. */
    public long nextExpiryNanos() {
        return mByLatestStart.isEmpty()
                ? Long.MAX_VALUE
                : mByLatestStart.first().latestStartNanos();
    }

    /** Notes that a running request's prefill is done. */
    public void onPrefilled(AttemptId id) {
        mRunning.onPrefilled(id);
    }

    /** Notes tokens of the answer of a running request. */
    public void onTokens(AttemptId id, long tokens) {
        mRunning.onTokens(id, tokens);
    }

    /** Notes that a running request has ended, in whatever way. */
    public void onFinished(AttemptId id) {
        var offer = mRunning.remove(id);
        if (offer != null) {
            mTeams.get(offer.team()).mRunning--;
        }
    }

    /** Takes out a waiting request that its caller gave up; false when it does not wait. */
    public boolean cancel(AttemptId id) {
        var entry = mQueued.get(id);
        if (entry == null) {
            return false;
        }
        removeQueued(entry);
        return true;
    }

    private boolean isKnown(AttemptId id) {
        return mQueued.containsKey(id) || mRunning.contains(id);
    }

    private long outstandingTokens() {
        return mRunning.loadTokens() + mQueuedTokens;
    }

    /** Zero means that the offer may start at once. */
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

    /** Displaces what is needed for the offer to fit; returns a refusal when it cannot fit. */
    private AdmissionDecision.Refused makeRoom(
            FairQueue queue, TeamState team, WorkOffer offer, boolean starts) {
        long excess = excessTokens(offer);
        boolean full = !starts && mQueued.size() >= mLimits.maxQueued();
        if (excess <= 0 && !full) {
            return null;
        }
        if (displaceableTokens(queue, team, offer) >= Math.max(excess, 1)) {
            displace(queue, team, offer, starts);
        }
        if (excessTokens(offer) > 0) {
            long retryAfterMillis =
                    (long) (excessTokens(offer) * 1_000.0 / load().tokensPerSecond());
            return refused(RefusalReason.LOAD_BOUND, retryAfterMillis);
        }
        if (!starts && mQueued.size() >= mLimits.maxQueued()) {
            return refused(RefusalReason.QUEUE_FULL, MIN_RETRY_AFTER_MILLIS);
        }
        return null;
    }

    /** Tokens by which the offer would take the load above the bound. */
    private long excessTokens(WorkOffer offer) {
        long load = outstandingTokens();
        long requestTokens = offer.work().loadTokens();
        if (mPoolMeanTokens == 0 || mLoadBound.admits(load, requestTokens, mPoolMeanTokens)) {
            return 0;
        }
        // Others that carry more have refused it, so the mean has risen above the estimate.
        if (load <= offer.leastRefusedTokens()) {
            return 0;
        }
        return (long) Math.ceil(load + requestTokens - mLoadBound.limit(mPoolMeanTokens));
    }

    private long displaceableTokens(FairQueue queue, TeamState team, WorkOffer offer) {
        long tokens = 0;
        for (var lower : mQueuesByPriority.tailMap(offer.priority(), false).values()) {
            tokens += lower.tokens();
        }
        var candidate = queue.lastOfLargestBacklog();
        if (candidate != null && hasLargerBacklog(queue, candidate, team, offer)) {
            tokens += queue.tokens();
        }
        return tokens;
    }

    private void displace(FairQueue queue, TeamState team, WorkOffer offer, boolean starts) {
        while (excessTokens(offer) > 0 || (!starts && mQueued.size() >= mLimits.maxQueued())) {
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
        var candidate = queue.lastOfLargestBacklog();
        return candidate != null && hasLargerBacklog(queue, candidate, team, offer)
                ? candidate
                : null;
    }

    /** Whether the other team keeps at least as much waiting by weight as the offering one gets. */
    private boolean hasLargerBacklog(
            FairQueue queue, QueueEntry candidate, TeamState team, WorkOffer offer) {
        var other = mTeams.get(candidate.offer().team());
        return other != team
                && queue.weightedTokens(other, -candidate.loadTokens())
                        >= queue.weightedTokens(team, offer.work().loadTokens());
    }

    private AdmissionDecision start(FairQueue queue, TeamState team, QueueEntry entry) {
        queue.charge(team, entry);
        run(team, entry.offer());
        return new AdmissionDecision.Admitted();
    }

    private AdmissionDecision enqueue(
            FairQueue queue, TeamState team, QueueEntry entry, long waitNanos) {
        queue.add(team, entry);
        mQueued.put(entry.offer().id(), entry);
        mByLatestStart.add(entry);
        mQueuedTokens += entry.loadTokens();
        team.mQueued++;
        Invariants.check(mQueued.size() <= mLimits.maxQueued(), "%s requests wait", mQueued.size());
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
                mRunning.size() <= mLimits.maxRunning(), "%s requests run", mRunning.size());
    }

    private void removeQueued(QueueEntry entry) {
        boolean removed = mQueuesByPriority.get(entry.offer().priority()).remove(entry);
        Invariants.check(removed, "attempt %s does not wait", entry.offer().id());
        untrack(entry);
    }

    private void untrack(QueueEntry entry) {
        mQueued.remove(entry.offer().id());
        mByLatestStart.remove(entry);
        mQueuedTokens -= entry.loadTokens();
        mTeams.get(entry.offer().team()).mQueued--;
        Invariants.check(mQueuedTokens >= 0, "%s tokens wait", mQueuedTokens);
    }

    private PollResult.Dropped dropped(QueueEntry entry, RefusalReason reason) {
        long remainingMillis =
                mRunning.remainingTokens() * 1_000 / Math.max(1, load().tokensPerSecond());
        return new PollResult.Dropped(
                entry.offer(), reason, Math.max(MIN_RETRY_AFTER_MILLIS, remainingMillis));
    }

    private static AdmissionDecision.Refused refused(RefusalReason reason, long retryAfterMillis) {
        return new AdmissionDecision.Refused(
                reason, Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis));
    }

    private void forget(TeamId team) {
        mQueuesByPriority.values().forEach(queue -> queue.forget(team));
    }
}
