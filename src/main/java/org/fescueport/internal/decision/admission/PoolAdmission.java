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
import org.fescueport.internal.decision.share.DecayingRate;
import org.fescueport.internal.decision.share.NodeShare;

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

    /**
     * Fraction of the time left until its deadline within which a caller is asked to return, so
     * that it can still be answered then.
     */
    private static final double RETURN_FRACTION = 0.3;

    /** Fraction of the send rate that is promised to returning callers in a lasting overload. */
    private static final double MIN_SPARE_FRACTION = 0.1;

    private static final double RATE_TIME_CONSTANT_SECONDS = 1;
    private static final double MIN_RATE_PER_SECOND = 1;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 4_000;

    private final Mechanisms mMechanisms;
    private final TreeMap<Integer, UrgencyClass> mClasses = new TreeMap<>();
    private final FairQueue mLateQueue = new FairQueue();

    /** Offers of teams that ask for no more than their share; sent before all others. */
    private final FairQueue mGrantedQueue = new FairQueue();

    private final Map<AttemptId, FairQueue> mInTimeQueues = new HashMap<>();
    private final TeamRegistry mTeams = new TeamRegistry(this::forget);
    private final Map<AttemptId, PoolOffer> mQueuedOffers = new HashMap<>();
    private final Map<AttemptId, QueueEntry> mInTimeEntries = new HashMap<>();
    private final Map<AttemptId, QueueEntry> mLateEntries = new HashMap<>();
    private final TreeSet<QueueEntry> mByLatestStart = new TreeSet<>(QueueEntry.BY_LATEST_START);
    private final InFlightOffers mInFlight = new InFlightOffers();
    private final DecayingRate mEndRate;
    private final DecayingRate mSendRate;
    private final DecayingRate mOfferRate;
    private final ReturnSchedule mReturns = new ReturnSchedule();
    private SendLimit mLimit;
    private NodeShare mShare = NodeShare.NONE;
    private long mSequence;
    private int mSendCount;
    private boolean mDraining;

    private PoolAdmission(Mechanisms mechanisms, long nowNanos) {
        mMechanisms = mechanisms;
        mLimit = new FlowLimit(mechanisms);
        mEndRate = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
        mSendRate = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
        mOfferRate = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
    }

    /** Returns an admission for idle replicas, with all mechanisms enabled. */
    public static PoolAdmission create(long nowNanos) {
        return create(Mechanisms.all(), nowNanos);
    }

    /** Returns an admission for idle replicas that uses only the given mechanisms. */
    public static PoolAdmission create(Mechanisms mechanisms, long nowNanos) {
        return new PoolAdmission(mechanisms, nowNanos);
    }

    /**
     * Limits from now on the requests that wait for the first byte of their response, in place of
     * the requests in flight; see {@link StartLimit}.
     */
    public void limitStarts(long nowNanos) {
        if (mLimit instanceof FlowLimit) {
            mLimit = new StartLimit(nowNanos);
        }
    }

    /** Sets what this node may take of the replicas, and each team at this node. */
    public void onShare(NodeShare share) {
        mShare = share;
        if (mLimit instanceof StartLimit starts) {
            starts.onShareFactor(share.limitFactor());
        }
        mTeams.forEach(team -> setWeight(team, share.weight(team.mTeam)));
    }

    /** Returns whether offers that could have been in time were not sent lately. */
    public boolean isShort(long nowNanos) {
        return mLimit instanceof StartLimit starts && starts.isShort(nowNanos);
    }

    /** Sets the total number of slots of all replicas and the number of nodes that send to them. */
    public void onCapacity(double slots, int nodes) {
        mLimit.onCapacity(slots, nodes);
    }

    /** Sets the requests in flight at the replicas per slot; 0 if they do not report them. */
    public void onOccupancy(double requestsPerSlot) {
        mLimit.onOccupancy(requestsPerSlot);
    }

    /** Records that a replica has refused a request for lack of capacity. */
    public void onReplicaFull(long nowNanos) {
        mLimit.onReplicaFull(mInFlight.load(nowNanos));
    }

    /**
     * Records the first byte of a response. Ignored if no request with this id is in flight.
     *
     * @param sentNanos time at which the request was sent to the replica that responds
     */
    public void onFirstByte(AttemptId id, long sentNanos, long nowNanos) {
        mInFlight.onFirstByte(id).ifPresent(sent -> onFirstByte(sent, sentNanos, nowNanos));
    }

    private void onFirstByte(InFlightOffers.Sent sent, long sentNanos, long nowNanos) {
        long elapsedNanos = nowNanos - sentNanos;
        classOf(sent.offer(), nowNanos).onFirstByte(elapsedNanos);
        mLimit.onFirstByte(
                elapsedNanos,
                sent.offer().objectiveNanos(),
                mInFlight.load(nowNanos),
                waiting() > 0,
                nowNanos);
    }

    /** Records that a request in flight has ended, with whatever outcome. */
    public void onEnded(AttemptId id, long nowNanos) {
        mInFlight.remove(id).ifPresent(sent -> onEnded(sent, nowNanos));
    }

    private void onEnded(InFlightOffers.Sent sent, long nowNanos) {
        mEndRate.add(nowNanos);
        mLimit.onEnded();
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
    public boolean isLimited(long nowNanos) {
        return mLimit.isActive(nowNanos);
    }

    /** Decides about an offer; its id must not belong to a queued or sent request. */
    public AdmissionDecision offer(PoolOffer offer, long nowNanos) {
        Invariants.check(!isKnown(offer.id()), "request %s was offered twice", offer.id());
        mTeams.prune(nowNanos);
        var team = mTeams.touch(offer.team(), mShare.weight(offer.team()), nowNanos);
        UrgencyClass urgency = classOf(offer, nowNanos);
        mOfferRate.add(nowNanos);
        urgency.onOffered(nowNanos);
        if (maySendNow(offer, urgency, nowNanos)) {
            urgency.mQueue.charge(team, newInTimeEntry(offer, urgency));
            send(offer, team, nowNanos);
            return new AdmissionDecision.Admitted();
        }
        long waitNanos = expectedWaitNanos(urgency, team, offer, nowNanos);
        long untilLatestStart = latestInTimeStart(offer, urgency) - nowNanos;
        if (waitNanos <= SAFE_WAIT_FRACTION * untilLatestStart) {
            enqueue(newInTimeEntry(offer, urgency), offer, team, false);
            return new AdmissionDecision.Queued(TimeUnit.NANOSECONDS.toMillis(waitNanos));
        }
        if (untilLatestStart >= 0) {
            mLimit.onMissed(nowNanos);
        }
        return offerLate(offer, urgency, team, nowNanos);
    }

    /** Accepts no late offers from now on; the next poll drops those that are queued. */
    public void beginDrain() {
        mDraining = true;
    }

    /** Returns whether no request is in flight and no offer is queued. */
    public boolean isIdle() {
        return mInFlight.size() == 0 && waiting() == 0;
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
        SentLoad load = mInFlight.load(nowNanos);
        boolean late = latestInTimeStart(offer, urgency) - nowNanos < 0;
        return !hasQueuedBefore(offer)
                && admits(offer.team(), load, nowNanos)
                && (!late || (mLateQueue.isEmpty() && mLimit.admitsLate(load, nowNanos)));
    }

    private boolean admits(TeamId team, SentLoad load, long nowNanos) {
        return mLimit.admits(load, nowNanos)
                || (mShare.isGranted(team) && admitsGranted(load, nowNanos));
    }

    private boolean admitsGranted(SentLoad load, long nowNanos) {
        return mLimit instanceof StartLimit starts && starts.admitsGranted(load, nowNanos);
    }

    /** Returns whether an offer is queued that can be in time and goes before this one. */
    private boolean hasQueuedBefore(PoolOffer offer) {
        if (!mGrantedQueue.isEmpty()) {
            return true;
        }
        return !mShare.isGranted(offer.team())
                && mClasses.headMap(offer.urgency(), true).values().stream()
                        .anyMatch(each -> !each.mQueue.isEmpty());
    }

    private FairQueue inTimeQueue(PoolOffer offer) {
        return mShare.isGranted(offer.team())
                ? mGrantedQueue
                : mClasses.get(offer.urgency()).mQueue;
    }

    private boolean isKnown(AttemptId id) {
        return mQueuedOffers.containsKey(id) || mInFlight.contains(id);
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
        boolean queues = mMechanisms.isEnabled(Mechanism.LATE_QUEUE);
        if (!queues || !mLimit.hasProspectForLate(nowNanos)) {
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
        if (mShare.isGranted(offer.team())) {
            double granted = mGrantedQueue.tokensAhead(team, offer.objectiveDeadlineNanos());
            return (long) (granted / sendRatePerSecond(nowNanos) * TimeUnit.SECONDS.toNanos(1));
        }
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
        double assumed = mLimit.assumedRatePerSecond(nowNanos);
        return Math.max(MIN_RATE_PER_SECOND, Math.max(rate, assumed));
    }

    /**
     * Returns the approximate time until all offers that are queued now have been sent. An offer
     * that is late by then loses nothing by an even later retry, which may find more capacity.
     */
    private long retryAfterMillis(PoolOffer offer, UrgencyClass urgency, long nowNanos) {
        if (mLimit instanceof StartLimit) {
            return scheduledReturnMillis(offer, nowNanos);
        }
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

    /**
     * Returns when there is room for the offer that has not been promised to another one; the
     * arrivals of the recent past are expected to go on.
     */
    private long scheduledReturnMillis(PoolOffer offer, long nowNanos) {
        double sent = sendRatePerSecond(nowNanos);
        double spare = Math.max(0, sent - mOfferRate.perSecond(nowNanos));
        long backlogNanos = (long) (waiting() / sent * TimeUnit.SECONDS.toNanos(1));
        long leftNanos = offer.deadlineNanos() - nowNanos;
        long delayNanos =
                mReturns.reserve(
                        backlogNanos,
                        (long) (RETURN_FRACTION * leftNanos),
                        Math.max(MIN_SPARE_FRACTION * sent, spare),
                        nowNanos);
        return Math.clamp(
                TimeUnit.NANOSECONDS.toMillis(delayNanos),
                MIN_RETRY_AFTER_MILLIS,
                MAX_RETRY_AFTER_MILLIS);
    }

    private void setWeight(TeamState team, double weight) {
        mClasses.values().forEach(each -> each.mQueue.onWeight(team, weight));
        mGrantedQueue.onWeight(team, weight);
        mLateQueue.onWeight(team, weight);
        mTeams.setWeight(team, weight);
    }

    private QueueEntry newInTimeEntry(PoolOffer offer, UrgencyClass urgency) {
        return waiting(offer, offer.objectiveDeadlineNanos(), latestInTimeStart(offer, urgency));
    }

    /** Returns the latest time at which an offer can be sent and still be in time. */
    private long latestInTimeStart(PoolOffer offer, UrgencyClass urgency) {
        return offer.objectiveDeadlineNanos()
                - mLimit.reservedNanos(offer.objectiveNanos(), urgency);
    }

    private QueueEntry waiting(PoolOffer offer, long dueNanos, long latestStartNanos) {
        var work =
                new WorkOffer(
                        offer.id(),
                        offer.team(),
                        mShare.weight(offer.team()),
                        offer.urgency(),
                        dueNanos,
                        Work.of(0, 1));
        return new QueueEntry(work, latestStartNanos, mSequence++);
    }

    private void enqueue(QueueEntry waiting, PoolOffer offer, TeamState team, boolean late) {
        AttemptId id = offer.id();
        mQueuedOffers.put(id, offer);
        (late ? mLateEntries : mInTimeEntries).put(id, waiting);
        FairQueue queue = late ? mLateQueue : inTimeQueue(offer);
        queue.add(team, waiting);
        if (!late) {
            mInTimeQueues.put(id, queue);
        }
        mByLatestStart.add(waiting);
        team.mQueued++;
    }

    private PoolOffer removeQueued(QueueEntry waiting, boolean late) {
        FairQueue queue = late ? mLateQueue : mInTimeQueues.get(waiting.offer().id());
        boolean removed = queue.remove(waiting);
        Invariants.check(removed, "request %s is not queued", waiting.offer().id());
        return untrack(waiting);
    }

    private PoolOffer untrack(QueueEntry waiting) {
        AttemptId id = waiting.offer().id();
        mInTimeEntries.remove(id);
        mInTimeQueues.remove(id);
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
        if (!late) {
            mLimit.onMissed(nowNanos);
        }
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
        SentLoad load = mInFlight.load(nowNanos);
        if (!mGrantedQueue.isEmpty() && admitsGranted(load, nowNanos)) {
            return Optional.of(mGrantedQueue);
        }
        if (!mLimit.admits(load, nowNanos)) {
            return Optional.empty();
        }
        boolean hasCapacityForLate = !mLateQueue.isEmpty() && mLimit.admitsLate(load, nowNanos);
        boolean isLateTurn =
                !mLateQueue.isEmpty()
                        && !mInTimeEntries.isEmpty()
                        && mLimit.hasProspectForLate(nowNanos)
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
        mInFlight.add(offer, nowNanos);
        team.mRunning++;
        mSendRate.add(nowNanos);
        mLimit.onSent();
        classOf(offer, nowNanos).onSent(nowNanos);
    }

    private void forget(TeamId team) {
        mClasses.values().forEach(each -> each.mQueue.forget(team));
        mGrantedQueue.forget(team);
        mLateQueue.forget(team);
    }
}
