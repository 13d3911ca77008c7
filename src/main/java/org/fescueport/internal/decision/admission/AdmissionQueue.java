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
    private static final int RESERVED_DIVISOR = 8;

    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    /**
     * Multiple of the expected service time that must be left when waiting work starts: the length
     * of an answer is not known, and one that is cut off at its deadline wasted its slot.
     */
    private static final int SERVICE_MARGIN = 2;

    private final AdmissionLimits mLimits;
    private LoadBound mBound;
    private final Speeds mSpeeds;
    private final TreeMap<Integer, FairQueue> mClasses = new TreeMap<>();
    private final Map<AttemptId, Waiting> mWaiting = new HashMap<>();
    private final TreeSet<Waiting> mByLatestStart = new TreeSet<>(Waiting.BY_LATEST_START);
    private final TeamRegistry mTeams = new TeamRegistry(this::forget);
    private final RunningWork mRunning = new RunningWork();
    private final List<Step.GivenUp> mDisplaced = new ArrayList<>();
    private long mQueuedTokens;
    private long mMeanTokens;
    private long mSequence;
    private boolean mLeaving;

    private AdmissionQueue(AdmissionLimits limits, Speeds speeds) {
        mLimits = limits;
        mBound = limits.bound();
        mSpeeds = speeds;
    }

    /** Returns an empty queue; {@code speeds} goes on learning outside. */
    public static AdmissionQueue create(AdmissionLimits limits, Speeds speeds) {
        return new AdmissionQueue(limits, speeds);
    }

    /** Takes the pool's mean load from the gossip; 0 while it is unknown. */
    public void setMean(long tokens) {
        mMeanTokens = tokens;
    }

    /** Takes a bound that was declared anew. */
    public void setBound(LoadBound bound) {
        mBound = bound;
    }

    /** Takes no new work from now on; what was taken is finished. */
    public void leave() {
        mLeaving = true;
    }

    /** Returns the load, as told in responses and in the gossip. */
    public LoadReport load() {
        long speed = Math.round(mSpeeds.decodePerSecond() * Math.max(1, mRunning.size()));
        return new LoadReport(outstandingTokens(), mMeanTokens, speed);
    }

    /** Returns how many requests run. */
    public int running() {
        return mRunning.size();
    }

    /** Returns how many requests wait. */
    public int queued() {
        return mWaiting.size();
    }

    /** Decides about an offer; its id must not be known here already. */
    public Admission offer(WorkOffer offer, long nowNanos) {
        Invariants.check(!isKnown(offer.id()), "attempt %s is offered twice", offer.id());
        if (mLeaving) {
            return new Admission.Refused(RefusalReason.LEAVING, MIN_RETRY_AFTER_MILLIS);
        }
        mTeams.prune(nowNanos);
        var team = mTeams.touch(offer.team(), offer.teamWeight(), nowNanos);
        var queue = mClasses.computeIfAbsent(offer.priority(), priority -> new FairQueue());
        long service = mSpeeds.serviceNanos(offer.work());
        long wait = expectedWaitNanos(queue, team, offer);
        long needed = wait == 0 ? service : wait + SERVICE_MARGIN * service;
        if (nowNanos + needed > offer.deadlineNanos()) {
            return refused(RefusalReason.DEADLINE, TimeUnit.NANOSECONDS.toMillis(wait));
        }
        var refusal = makeRoom(queue, team, offer, wait == 0);
        if (refusal != null) {
            return refusal;
        }
        Invariants.check(excessTokens(offer) == 0, "attempt %s breaks the bound", offer.id());
        long latestStart = offer.deadlineNanos() - SERVICE_MARGIN * service;
        var waiting = new Waiting(offer, latestStart, mSequence++);
        return wait == 0 ? start(queue, team, waiting) : enqueue(queue, team, waiting, wait);
    }

    /** Starts what may start and gives up what turned hopeless or was displaced. */
    public Step poll(long nowNanos) {
        var givenUp = new ArrayList<>(mDisplaced);
        mDisplaced.clear();
        while (!mByLatestStart.isEmpty() && mByLatestStart.first().latestStartNanos() < nowNanos) {
            var hopeless = mByLatestStart.first();
            dequeue(hopeless);
            givenUp.add(givenUp(hopeless, RefusalReason.DEADLINE));
        }
        var started = new ArrayList<WorkOffer>();
        while (mRunning.size() < mLimits.maxRunning()) {
            var next = takeNext();
            if (next == null) {
                break;
            }
            started.add(next.offer());
        }
        return new Step(started, givenUp);
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
        var waiting = mWaiting.get(id);
        if (waiting == null) {
            return false;
        }
        dequeue(waiting);
        return true;
    }

    private boolean isKnown(AttemptId id) {
        return mWaiting.containsKey(id) || mRunning.contains(id);
    }

    private long outstandingTokens() {
        return mRunning.loadTokens() + mQueuedTokens;
    }

    /** Zero means that the offer may start at once. */
    private long expectedWaitNanos(FairQueue queue, TeamState team, WorkOffer offer) {
        double ahead = queue.tokensAhead(team, offer.deadlineNanos());
        for (var urgent : mClasses.headMap(offer.priority()).values()) {
            ahead += urgent.tokens();
        }
        if (ahead == 0 && mayStart(team)) {
            return 0;
        }
        int running = Math.max(1, mRunning.size());
        double untilSlot = mRunning.remainingTokens() / (double) running;
        double seconds = (ahead + untilSlot) / (running * mSpeeds.decodePerSecond());
        return Math.max(1, (long) (seconds * TimeUnit.SECONDS.toNanos(1)));
    }

    private boolean mayStart(TeamState team) {
        int free = mLimits.maxRunning() - mRunning.size();
        if (free <= 0) {
            return false;
        }
        int reserved = mLimits.maxRunning() / RESERVED_DIVISOR;
        return free > reserved || team.mRunning < mTeams.shareOf(team) * mLimits.maxRunning();
    }

    /** Displaces what is needed for the offer to fit; returns a refusal when it cannot fit. */
    private Admission.Refused makeRoom(
            FairQueue queue, TeamState team, WorkOffer offer, boolean starts) {
        long excess = excessTokens(offer);
        boolean full = !starts && mWaiting.size() >= mLimits.maxQueued();
        if (excess <= 0 && !full) {
            return null;
        }
        if (displaceableTokens(queue, team, offer) >= Math.max(excess, 1)) {
            displace(queue, team, offer, starts);
        }
        if (excessTokens(offer) > 0) {
            long millis = (long) (excessTokens(offer) * 1_000.0 / load().tokensPerSecond());
            return refused(RefusalReason.LOAD_BOUND, millis);
        }
        if (!starts && mWaiting.size() >= mLimits.maxQueued()) {
            return refused(RefusalReason.QUEUE_FULL, MIN_RETRY_AFTER_MILLIS);
        }
        return null;
    }

    /** Tokens by which the offer would take the load above the bound. */
    private long excessTokens(WorkOffer offer) {
        long load = outstandingTokens();
        long more = offer.work().loadTokens();
        if (mMeanTokens == 0 || mBound.admits(load, more, mMeanTokens)) {
            return 0;
        }
        // Others that carry more have refused it, so the mean has risen above the estimate.
        if (load <= offer.leastRefusedTokens()) {
            return 0;
        }
        return (long) Math.ceil(load + more - mBound.limit(mMeanTokens));
    }

    private long displaceableTokens(FairQueue queue, TeamState team, WorkOffer offer) {
        long tokens = 0;
        for (var lower : mClasses.tailMap(offer.priority(), false).values()) {
            tokens += lower.tokens();
        }
        var last = queue.lastOfLongest();
        if (last != null && hasMore(queue, last, team, offer)) {
            tokens += queue.tokens();
        }
        return tokens;
    }

    private void displace(FairQueue queue, TeamState team, WorkOffer offer, boolean starts) {
        while (excessTokens(offer) > 0 || (!starts && mWaiting.size() >= mLimits.maxQueued())) {
            var victim = nextVictim(queue, team, offer);
            if (victim == null) {
                return;
            }
            dequeue(victim);
            mDisplaced.add(givenUp(victim, RefusalReason.DISPLACED));
        }
    }

    private Waiting nextVictim(FairQueue queue, TeamState team, WorkOffer offer) {
        for (var lower : mClasses.tailMap(offer.priority(), false).descendingMap().values()) {
            if (!lower.isEmpty()) {
                return lower.lastOfLongest();
            }
        }
        var last = queue.lastOfLongest();
        return last != null && hasMore(queue, last, team, offer) ? last : null;
    }

    /** Whether the other team keeps at least as much waiting by weight as the offering one gets. */
    private boolean hasMore(FairQueue queue, Waiting last, TeamState team, WorkOffer offer) {
        var other = mTeams.get(last.offer().team());
        return other != team
                && queue.tokensByWeight(other, -last.loadTokens())
                        >= queue.tokensByWeight(team, offer.work().loadTokens());
    }

    private Admission start(FairQueue queue, TeamState team, Waiting waiting) {
        queue.charge(team, waiting);
        run(team, waiting.offer());
        return new Admission.Admitted();
    }

    private Admission enqueue(FairQueue queue, TeamState team, Waiting waiting, long waitNanos) {
        queue.add(team, waiting);
        mWaiting.put(waiting.offer().id(), waiting);
        mByLatestStart.add(waiting);
        mQueuedTokens += waiting.loadTokens();
        team.mQueued++;
        Invariants.check(
                mWaiting.size() <= mLimits.maxQueued(), "%s requests wait", mWaiting.size());
        return new Admission.Queued(TimeUnit.NANOSECONDS.toMillis(waitNanos));
    }

    private Waiting takeNext() {
        for (var queue : mClasses.values()) {
            if (queue.isEmpty()) {
                continue;
            }
            var next = queue.take(this::mayStart);
            if (next != null) {
                takeOut(next);
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

    private void dequeue(Waiting waiting) {
        boolean removed = mClasses.get(waiting.offer().priority()).remove(waiting);
        Invariants.check(removed, "attempt %s does not wait", waiting.offer().id());
        takeOut(waiting);
    }

    private void takeOut(Waiting waiting) {
        mWaiting.remove(waiting.offer().id());
        mByLatestStart.remove(waiting);
        mQueuedTokens -= waiting.loadTokens();
        mTeams.get(waiting.offer().team()).mQueued--;
        Invariants.check(mQueuedTokens >= 0, "%s tokens wait", mQueuedTokens);
    }

    private Step.GivenUp givenUp(Waiting waiting, RefusalReason reason) {
        long untilSlot = mRunning.remainingTokens() * 1_000 / Math.max(1, load().tokensPerSecond());
        return new Step.GivenUp(
                waiting.offer(), reason, Math.max(MIN_RETRY_AFTER_MILLIS, untilSlot));
    }

    private static Admission.Refused refused(RefusalReason reason, long retryAfterMillis) {
        return new Admission.Refused(reason, Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis));
    }

    private void forget(TeamId team) {
        mClasses.values().forEach(queue -> queue.forget(team));
    }
}
