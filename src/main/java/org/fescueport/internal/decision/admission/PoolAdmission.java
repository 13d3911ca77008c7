package org.fescueport.internal.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.Work;

/**
 * Decides which requests one node sends to the replicas of a pool, and when.
 *
 * <p>Designed for overload, when more requests arrive than the replicas can begin to answer within
 * their latency objectives. An offer is <em>in time</em> while its first byte can still meet its
 * objective, and <em>late</em> after that. In overload, the node sends only as many requests as the
 * replicas have capacity for, so that all of them are in time. The others are queued while they can
 * still be in time: by urgency class, then by fair queueing over teams, then by earliest due time.
 * A class that would fall far behind a more urgent one is served first. Late offers are sent after
 * all those that can be in time. An offer without any prospect is refused at once, with the time
 * after which there may be capacity. While the replicas have capacity, every request is sent at
 * once. This class is not thread-safe.
 *
 * <pre>{@code
 * switch (admission.offer(offer, now)) {
 *     case AdmissionDecision.Admitted admitted -> send(offer);
 *     case AdmissionDecision.Queued queued -> {}
 *     case AdmissionDecision.Refused refused -> answerNotRun(refused);
 * }
 * PoolPollResult result = admission.poll(now); // after each event, and a few times a second
 * }</pre>
 */
public final class PoolAdmission {
    /**
     * Target for the fraction of its offers that is sent for a class, relative to the target of the
     * next more urgent class.
     */
    private static final double CLASS_SHARE_RATIO = 0.85;

    /** Lower bound of the target share, however many more urgent classes there are. */
    private static final double MIN_CLASS_SHARE = 0.4;

    /**
     * Fraction of the time until its latest start that the expected wait of an offer may take up
     * for the offer to be queued as in time.
     */
    private static final double SAFE_WAIT_FRACTION = 0.8;

    /**
     * While offers that can be in time are queued, one in this many requests sent from the queues
     * is a late one, so that late offers are not starved.
     */
    private static final int LATE_INTERVAL = 16;

    /**
     * Fraction of the time left until its deadline for which a late offer is queued before it is
     * dropped and its caller answered.
     */
    private static final double LATE_WAIT_FRACTION = 0.3;

    /**
     * Longest time that a late offer is queued, as a multiple of its latency objective: callers
     * take a longer silence for a lost request.
     */
    private static final double MAX_LATE_WAIT_OBJECTIVES = 1.5;

    /**
     * Fraction of the time left until its deadline after which, at the earliest, the caller of a
     * late offer is asked to retry.
     */
    private static final double LATE_RETRY_FRACTION = 0.15;

    private static final double RATE_TIME_CONSTANT_SECONDS = 1;
    private static final double MIN_RATE_PER_SECOND = 1;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 4_000;
    private static final double EQUAL_WEIGHT = 1;

    private record SentOffer(PoolOffer offer, long sentAtNanos) {}

    private final Mechanisms mMechanisms;
    private final FlowLimit mFlowLimit;
    private final TreeMap<Integer, UrgencyClass> mClasses = new TreeMap<>();
    private final FairQueue mLateQueue = new FairQueue();
    private final TeamRegistry mTeams = new TeamRegistry(this::forget);
    private final Map<AttemptId, PoolOffer> mQueuedOffers = new HashMap<>();
    private final Map<AttemptId, QueueEntry> mInTimeEntries = new HashMap<>();
    private final Map<AttemptId, QueueEntry> mLateEntries = new HashMap<>();
    private final TreeSet<QueueEntry> mByLatestStart = new TreeSet<>(QueueEntry.BY_LATEST_START);
    private final Map<AttemptId, SentOffer> mInFlight = new HashMap<>();
    private final DecayingRate mEndRate;
    private final DecayingRate mSendRate;
    private long mSequence;
    private int mSendCount;
    private boolean mDraining;

    private PoolAdmission(Mechanisms mechanisms, long nowNanos) {
        mMechanisms = mechanisms;
        mFlowLimit = new FlowLimit(mechanisms);
        mEndRate = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
        mSendRate = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
    }

    /** Returns an admission for idle replicas, with all mechanisms enabled. */
    public static PoolAdmission create(long nowNanos) {
        return create(Mechanisms.all(), nowNanos);
    }

    /** Returns an admission for idle replicas that uses only the given mechanisms. */
    public static PoolAdmission create(Mechanisms mechanisms, long nowNanos) {
        return new PoolAdmission(mechanisms, nowNanos);
    }

    /** Sets the total number of slots of all replicas and the number of nodes that send to them. */
    public void onCapacity(double slots, int nodes) {
        mFlowLimit.onCapacity(slots, nodes);
    }

    /** Sets the requests in flight at the replicas per slot; 0 if they do not report them. */
    public void onOccupancy(double requestsPerSlot) {
        mFlowLimit.onOccupancy(requestsPerSlot);
    }

    /** Records that a replica has refused a request for lack of capacity. */
    public void onReplicaFull() {
        mFlowLimit.onReplicaFull(mInFlight.size());
    }

    /**
     * Records the first byte of a response. Ignored if no request with this id is in flight.
     *
     * @param sentNanos time at which the request was sent to the replica that responds
     */
    public void onFirstByte(AttemptId id, long sentNanos, long nowNanos) {
        SentOffer sent = mInFlight.get(id);
        if (sent != null) {
            long elapsedNanos = nowNanos - sentNanos;
            classOf(sent.offer(), nowNanos).onFirstByte(elapsedNanos);
            mFlowLimit.onTimeToFirstByte(
                    elapsedNanos, sent.offer().objectiveNanos(), mInFlight.size(), waiting() > 0);
        }
    }

    /** Records that a request in flight has ended, with whatever outcome. */
    public void onEnded(AttemptId id, long nowNanos) {
        SentOffer sent = mInFlight.remove(id);
        if (sent == null) {
            return;
        }
        mEndRate.add(nowNanos);
        mFlowLimit.onEnded();
        mTeams.get(sent.offer().team()).mRunning--;
        classOf(sent.offer(), nowNanos).onEnded(nowNanos - sent.sentAtNanos());
    }

    /** Removes a queued offer that its caller abandoned; returns false if it is not queued. */
    public boolean cancel(AttemptId id) {
        QueueEntry waiting = mInTimeEntries.get(id);
        boolean late = waiting == null;
        waiting = late ? mLateEntries.get(id) : waiting;
        if (waiting == null) {
            return false;
        }
        removeQueued(waiting, late);
        return true;
    }

    /** Returns the number of requests that were sent and have not ended. */
    public int inFlight() {
        return mInFlight.size();
    }

    /** Returns the number of queued offers. */
    public int waiting() {
        return mInTimeEntries.size() + mLateEntries.size();
    }

    /** Returns whether a limit is in force, so that offers may be queued or refused. */
    public boolean isLimited() {
        return mFlowLimit.isActive();
    }

    /** Decides about an offer; its id must not belong to a queued or sent request. */
    public AdmissionDecision offer(PoolOffer offer, long nowNanos) {
        Invariants.check(!isKnown(offer.id()), "request %s was offered twice", offer.id());
        mTeams.prune(nowNanos);
        var team = mTeams.touch(offer.team(), EQUAL_WEIGHT, nowNanos);
        UrgencyClass urgency = classOf(offer, nowNanos);
        urgency.onOffered(nowNanos);
        if (maySendNow(offer, urgency, nowNanos)) {
            urgency.mQueue.charge(team, newInTimeEntry(offer, urgency));
            send(offer, team, nowNanos);
            return new AdmissionDecision.Admitted();
        }
        long waitNanos = expectedWaitNanos(urgency, team, offer, nowNanos);
        if (waitNanos <= SAFE_WAIT_FRACTION * (latestInTimeStart(offer, urgency) - nowNanos)) {
            enqueue(newInTimeEntry(offer, urgency), offer, team, false);
            return new AdmissionDecision.Queued(TimeUnit.NANOSECONDS.toMillis(waitNanos));
        }
        return offerLate(offer, urgency, team, nowNanos);
    }

    /** Accepts no late offers from now on; the next poll drops those that are queued. */
    public void beginDrain() {
        mDraining = true;
    }

    /** Returns whether no request is in flight and no offer is queued. */
    public boolean isIdle() {
        return mInFlight.isEmpty() && waiting() == 0;
    }

    /** Returns the offers to send now, and drops those that no longer have any prospect. */
    public PoolPollResult poll(long nowNanos) {
        List<PoolOffer> started = new ArrayList<>();
        List<PoolPollResult.Dropped> dropped = new ArrayList<>();
        if (mDraining) {
            List.copyOf(mLateEntries.values())
                    .forEach(each -> requeueOrDrop(each, true, nowNanos, dropped));
        }
        expire(nowNanos, dropped);
        for (var queue = nextQueue(nowNanos); queue.isPresent(); queue = nextQueue(nowNanos)) {
            started.add(sendNext(queue.get(), nowNanos));
        }
        return new PoolPollResult(started, dropped);
    }

    private boolean maySendNow(PoolOffer offer, UrgencyClass urgency, long nowNanos) {
        int inFlight = mInFlight.size();
        boolean late = latestInTimeStart(offer, urgency) - nowNanos < 0;
        return !hasEquallyUrgentQueued(offer.urgency())
                && mFlowLimit.admits(inFlight)
                && (!late || (mLateQueue.isEmpty() && mFlowLimit.admitsLate(inFlight)));
    }

    /** Returns whether an offer that can be in time and is at least as urgent is queued. */
    private boolean hasEquallyUrgentQueued(int urgency) {
        return mClasses.headMap(urgency, true).values().stream().anyMatch(c -> !c.mQueue.isEmpty());
    }

    private boolean isKnown(AttemptId id) {
        return mQueuedOffers.containsKey(id) || mInFlight.containsKey(id);
    }

    private UrgencyClass classOf(PoolOffer offer, long nowNanos) {
        return mClasses.computeIfAbsent(offer.urgency(), key -> new UrgencyClass(nowNanos));
    }

    /**
     * Queues a late offer for a fraction of the time left until its deadline, or refuses it if too
     * many late offers are queued before it.
     */
    private AdmissionDecision offerLate(
            PoolOffer offer, UrgencyClass urgency, TeamState team, long nowNanos) {
        long retryMillis = retryAfterMillis(offer, urgency, nowNanos);
        if (mDraining) {
            return new AdmissionDecision.Refused(RefusalReason.LEAVING, retryMillis);
        }
        if (!mMechanisms.isEnabled(Mechanism.LATE_QUEUE)) {
            return new AdmissionDecision.Refused(RefusalReason.DEADLINE, retryMillis);
        }
        long latestNanos = latestLateStart(offer, urgency, nowNanos);
        long waitNanos = lateWaitNanos(nowNanos);
        if (nowNanos + waitNanos - latestNanos > 0) {
            return new AdmissionDecision.Refused(RefusalReason.DEADLINE, retryMillis);
        }
        enqueue(waiting(offer, offer.deadlineNanos(), latestNanos), offer, team, true);
        return new AdmissionDecision.Queued(TimeUnit.NANOSECONDS.toMillis(waitNanos));
    }

    private long lateWaitNanos(long nowNanos) {
        double rate = sendRatePerSecond(nowNanos) / (mInTimeEntries.isEmpty() ? 1 : LATE_INTERVAL);
        return (long) ((mLateEntries.size() + 1) / rate * TimeUnit.SECONDS.toNanos(1));
    }

    private static long latestLateStart(PoolOffer offer, UrgencyClass urgency, long nowNanos) {
        long leftNanos = offer.deadlineNanos() - nowNanos - urgency.serviceTimeNanos();
        double maxSilenceNanos = MAX_LATE_WAIT_OBJECTIVES * offer.objectiveNanos();
        return nowNanos + (long) Math.min(LATE_WAIT_FRACTION * leftNanos, maxSilenceNanos);
    }

    /** Returns how long an offer would be queued behind those that are sent before it. */
    private long expectedWaitNanos(
            UrgencyClass urgency, TeamState team, PoolOffer offer, long nowNanos) {
        double ahead = urgency.mQueue.tokensAhead(team, offer.objectiveDeadlineNanos());
        double rate = Math.max(MIN_RATE_PER_SECOND, sendRatePerSecond(urgency, nowNanos));
        return (long) (ahead / rate * TimeUnit.SECONDS.toNanos(1));
    }

    /**
     * Returns the share of the send rate that a class gets. Classes divide it in proportion to
     * their offered rates, weighted with their target shares.
     */
    private double sendRatePerSecond(UrgencyClass urgency, long nowNanos) {
        double all = 0;
        double own = 0;
        double classShare = 1;
        for (var each : mClasses.values()) {
            double offered = classShare * each.offeredPerSecond(nowNanos);
            all += offered;
            own = each == urgency ? offered : own;
            classShare = Math.max(MIN_CLASS_SHARE, classShare * CLASS_SHARE_RATIO);
        }
        return sendRatePerSecond(nowNanos) * own / Math.max(1, all);
    }

    /**
     * Returns the estimated rate at which requests can be sent: the mean of the rates of ended and
     * of sent requests. Ended requests free capacity, but at the onset of load there is more
     * capacity than their rate shows.
     */
    private double sendRatePerSecond(long nowNanos) {
        double rate = (mEndRate.perSecond(nowNanos) + mSendRate.perSecond(nowNanos)) / 2;
        return Math.max(MIN_RATE_PER_SECOND, rate);
    }

    /**
     * Returns the approximate time until all offers that are queued now have been sent. An offer
     * that is late by then loses nothing by an even later retry, which may find more capacity.
     */
    private long retryAfterMillis(PoolOffer offer, UrgencyClass urgency, long nowNanos) {
        double backlogMillis = 1_000.0 * (waiting() + 1) / sendRatePerSecond(nowNanos);
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(offer.deadlineNanos() - nowNanos);
        long latestStartMillis =
                TimeUnit.NANOSECONDS.toMillis(latestInTimeStart(offer, urgency) - nowNanos);
        double millis =
                backlogMillis < latestStartMillis
                        ? backlogMillis
                        : Math.max(backlogMillis, LATE_RETRY_FRACTION * leftMillis);
        return Math.clamp((long) millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    }

    private QueueEntry newInTimeEntry(PoolOffer offer, UrgencyClass urgency) {
        return waiting(offer, offer.objectiveDeadlineNanos(), latestInTimeStart(offer, urgency));
    }

    /**
     * Returns the latest time at which an offer can be sent and still be in time. The expected time
     * to the first byte counts only up to a fraction of the objective, since {@link FlowLimit}
     * brings the replicas back to that.
     */
    private static long latestInTimeStart(PoolOffer offer, UrgencyClass urgency) {
        double limitedNanos = FlowLimit.FIRST_BYTE_FRACTION * offer.objectiveNanos();
        return offer.objectiveDeadlineNanos()
                - (long) Math.min(limitedNanos, urgency.firstByteNanos());
    }

    private QueueEntry waiting(PoolOffer offer, long dueNanos, long latestStartNanos) {
        var work =
                new WorkOffer(
                        offer.id(),
                        offer.team(),
                        EQUAL_WEIGHT,
                        offer.urgency(),
                        dueNanos,
                        Work.of(0, 1));
        return new QueueEntry(work, latestStartNanos, mSequence++);
    }

    private void enqueue(QueueEntry waiting, PoolOffer offer, TeamState team, boolean late) {
        AttemptId id = offer.id();
        mQueuedOffers.put(id, offer);
        (late ? mLateEntries : mInTimeEntries).put(id, waiting);
        (late ? mLateQueue : mClasses.get(offer.urgency()).mQueue).add(team, waiting);
        mByLatestStart.add(waiting);
        team.mQueued++;
    }

    private PoolOffer removeQueued(QueueEntry waiting, boolean late) {
        FairQueue queue = late ? mLateQueue : mClasses.get(waiting.offer().priority()).mQueue;
        boolean removed = queue.remove(waiting);
        Invariants.check(removed, "request %s is not queued", waiting.offer().id());
        return untrack(waiting);
    }

    private PoolOffer untrack(QueueEntry waiting) {
        AttemptId id = waiting.offer().id();
        mInTimeEntries.remove(id);
        mLateEntries.remove(id);
        mByLatestStart.remove(waiting);
        mTeams.get(waiting.offer().team()).mQueued--;
        return mQueuedOffers.remove(id);
    }

    /**
     * Moves offers that can no longer be in time to the late queue, and drops those that were
     * queued there for too long.
     */
    private void expire(long nowNanos, List<PoolPollResult.Dropped> dropped) {
        while (!mByLatestStart.isEmpty()
                && mByLatestStart.first().latestStartNanos() - nowNanos < 0) {
            QueueEntry expired = mByLatestStart.first();
            requeueOrDrop(
                    expired, mLateEntries.containsKey(expired.offer().id()), nowNanos, dropped);
        }
    }

    private void requeueOrDrop(
            QueueEntry expired, boolean late, long nowNanos, List<PoolPollResult.Dropped> dropped) {
        PoolOffer offer = removeQueued(expired, late);
        UrgencyClass urgency = classOf(offer, nowNanos);
        var team = mTeams.get(offer.team());
        boolean requeued =
                !late
                        && offerLate(offer, urgency, team, nowNanos)
                                instanceof AdmissionDecision.Queued;
        if (!requeued) {
            long retryMillis = retryAfterMillis(offer, urgency, nowNanos);
            dropped.add(new PoolPollResult.Dropped(offer, RefusalReason.DEADLINE, retryMillis));
        }
    }

    /** Returns the queue to send the next request from; empty while none may be sent. */
    private Optional<FairQueue> nextQueue(long nowNanos) {
        int inFlight = mInFlight.size();
        if (!mFlowLimit.admits(inFlight)) {
            return Optional.empty();
        }
        boolean hasCapacityForLate = !mLateQueue.isEmpty() && mFlowLimit.admitsLate(inFlight);
        boolean isLateTurn =
                !mLateQueue.isEmpty()
                        && !mInTimeEntries.isEmpty()
                        && (mSendCount + 1) % LATE_INTERVAL == 0;
        Optional<FairQueue> inTime = mostUnderserved(nowNanos).map(urgency -> urgency.mQueue);
        return isLateTurn || (inTime.isEmpty() && hasCapacityForLate)
                ? Optional.of(mLateQueue)
                : inTime;
    }

    private PoolOffer sendNext(FairQueue queue, long nowNanos) {
        mSendCount++;
        PoolOffer offer = untrack(queue.take(team -> true));
        send(offer, mTeams.get(offer.team()), nowNanos);
        return offer;
    }

    /**
     * Returns the class with queued offers whose sent fraction is the smallest relative to its
     * target share.
     */
    private Optional<UrgencyClass> mostUnderserved(long nowNanos) {
        UrgencyClass next = null;
        double minRatio = Double.POSITIVE_INFINITY;
        double classShare = 1;
        for (var urgency : mClasses.values()) {
            double part = urgency.sentFraction(nowNanos) / classShare;
            if (!urgency.mQueue.isEmpty() && part < minRatio) {
                minRatio = part;
                next = urgency;
            }
            classShare = Math.max(MIN_CLASS_SHARE, classShare * CLASS_SHARE_RATIO);
        }
        return Optional.ofNullable(next);
    }

    private void send(PoolOffer offer, TeamState team, long nowNanos) {
        mInFlight.put(offer.id(), new SentOffer(offer, nowNanos));
        team.mRunning++;
        mSendRate.add(nowNanos);
        mFlowLimit.onSent();
        classOf(offer, nowNanos).onSent(nowNanos);
    }

    private void forget(TeamId team) {
        mClasses.values().forEach(each -> each.mQueue.forget(team));
        mLateQueue.forget(team);
    }
}
