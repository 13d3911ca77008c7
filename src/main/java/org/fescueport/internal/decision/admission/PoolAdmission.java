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
 * <p>Answers an overload: more arrives than the replicas can begin in time. What is sent then is
 * what replicas have room for, so that all of it is in time; the others wait here for as long as
 * they can still be in time, by urgency, fairly over teams and by what is due first. A class that
 * would fall far behind a more urgent one goes first. What is late already goes behind all that can
 * be in time, and what has no prospect is refused at once with when there is room. While replicas
 * have room everything is sent. Not safe for use by several threads.
 *
 * <pre>{@code
 * switch (admission.offer(offer, now)) {
 *     case Admission.Admitted admitted -> send(offer);
 *     case Admission.Queued queued -> {}
 *     case Admission.Refused refused -> answerNotRun(refused);
 * }
 * PoolStep step = admission.poll(now); // after each event, and a few times a second
 * }</pre>
 */
public final class PoolAdmission {
    /** Part of what a class is sent, beside the next more urgent one. */
    private static final double CLASS_SHARE_RATIO = 0.85;

    /** No class may expect less than this, however many come before it. */
    private static final double MIN_CLASS_SHARE = 0.4;

    /** Part of the time until the latest start for which a request may be expected to wait. */
    private static final double SAFE_WAIT_FRACTION = 0.8;

    /** One in so many goes to late work while other work waits, so that it is not starved. */
    private static final int LATE_INTERVAL = 16;

    /** Part of the time it has left for which late work waits before its caller is told. */
    private static final double LATE_WAIT_FRACTION = 0.3;

    /** The same in objectives; callers take a longer silence for a lost request. */
    private static final double MAX_LATE_WAIT_OBJECTIVES = 1.5;

    /** Part of the time it has left after which late work is told to come back. */
    private static final double LATE_RETRY_FRACTION = 0.15;

    private static final double RATE_TIME_CONSTANT_SECONDS = 1;
    private static final double MIN_RATE_PER_SECOND = 1;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 4_000;
    private static final double EQUAL_WEIGHT = 1;

    private record SentOffer(PoolOffer offer, long sentNanos) {}

    private final Mechanisms mMechanisms;
    private final ConcurrencyLimit mConcurrencyLimit;
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
        mConcurrencyLimit = new ConcurrencyLimit(mechanisms);
        mEndRate = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
        mSendRate = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
    }

    /** Returns an admission before idle replicas. */
    public static PoolAdmission create(long nowNanos) {
        return create(Mechanisms.all(), nowNanos);
    }

    /** Returns one that uses these mechanisms only. */
    public static PoolAdmission create(Mechanisms mechanisms, long nowNanos) {
        return new PoolAdmission(mechanisms, nowNanos);
    }

    /** Takes in the slots of all replicas and how many nodes send to them. */
    public void onCapacity(double slots, int nodes) {
        mConcurrencyLimit.onCapacity(slots, nodes);
    }

    /** Takes in how many requests the replicas hold for each of their slots, where they tell. */
    public void onOccupancy(double requestsPerSlot) {
        mConcurrencyLimit.onOccupancy(requestsPerSlot);
    }

    /** Notes that a replica turned a request away for want of room. */
    public void onReplicaFull() {
        mConcurrencyLimit.onReplicaFull(mInFlight.size());
    }

    /**
     * Notes the first piece of an answer.
     *
     * @param sentNanos when the request went to the replica that answers
     */
    public void onFirstByte(AttemptId id, long sentNanos, long nowNanos) {
        SentOffer sent = mInFlight.get(id);
        if (sent != null) {
            long firstByteNanos = nowNanos - sentNanos;
            classOf(sent.offer(), nowNanos).onFirstByte(firstByteNanos);
            mConcurrencyLimit.onFirstByte(
                    firstByteNanos, sent.offer().objectiveNanos(), mInFlight.size(), queued() > 0);
        }
    }

    /** Notes that a request that was sent has ended, in whatever way. */
    public void onEnded(AttemptId id, long nowNanos) {
        SentOffer sent = mInFlight.remove(id);
        if (sent == null) {
            return;
        }
        mEndRate.add(nowNanos);
        mConcurrencyLimit.onEnded();
        mTeams.get(sent.offer().team()).mRunning--;
        classOf(sent.offer(), nowNanos).onEnded(nowNanos - sent.sentNanos());
    }

    /** Takes out a request that its caller gave up; false when it does not wait. */
    public boolean cancel(AttemptId id) {
        QueueEntry entry = mInTimeEntries.get(id);
        boolean late = entry == null;
        entry = late ? mLateEntries.get(id) : entry;
        if (entry == null) {
            return false;
        }
        removeQueued(entry, late);
        return true;
    }

    /** Returns how many requests are at replicas. */
    public int inFlight() {
        return mInFlight.size();
    }

    /** Returns how many requests wait. */
    public int queued() {
        return mInTimeEntries.size() + mLateEntries.size();
    }

    /** Returns whether this node sends less than it is offered, or would. */
    public boolean isLimited() {
        return mConcurrencyLimit.isActive();
    }

    /** Decides about a request; its id must not be known here already. */
    public AdmissionDecision offer(PoolOffer offer, long nowNanos) {
        Invariants.check(!isKnown(offer.id()), "request %s is offered twice", offer.id());
        mTeams.prune(nowNanos);
        var team = mTeams.touch(offer.team(), EQUAL_WEIGHT, nowNanos);
        UrgencyClass urgencyClass = classOf(offer, nowNanos);
        urgencyClass.onOffered(nowNanos);
        if (maySendNow(offer, urgencyClass, nowNanos)) {
            urgencyClass.mQueue.charge(team, newInTimeEntry(offer, urgencyClass));
            send(offer, team, nowNanos);
            return new AdmissionDecision.Admitted();
        }
        long waitNanos = expectedWaitNanos(urgencyClass, team, offer, nowNanos);
        if (waitNanos <= SAFE_WAIT_FRACTION * (latestInTimeStart(offer, urgencyClass) - nowNanos)) {
            enqueue(newInTimeEntry(offer, urgencyClass), offer, team, false);
            return new AdmissionDecision.Queued(TimeUnit.NANOSECONDS.toMillis(waitNanos));
        }
        return offerLate(offer, urgencyClass, team, nowNanos);
    }

    /** Takes no more late work; what waits late is given up by the next poll. */
    public void beginDrain() {
        mDraining = true;
    }

    /** Returns whether nothing is at replicas and nothing waits. */
    public boolean isIdle() {
        return mInFlight.isEmpty() && queued() == 0;
    }

    /** Sends what may be sent now, and gives up what has no prospect any more. */
    public PoolPollResult poll(long nowNanos) {
        List<PoolOffer> started = new ArrayList<>();
        List<PoolPollResult.Dropped> dropped = new ArrayList<>();
        if (mDraining) {
            List.copyOf(mLateEntries.values())
                    .forEach(entry -> requeueOrDrop(entry, true, nowNanos, dropped));
        }
        expire(nowNanos, dropped);
        for (var queue = nextQueue(nowNanos); queue.isPresent(); queue = nextQueue(nowNanos)) {
            started.add(sendNext(queue.get(), nowNanos));
        }
        return new PoolPollResult(started, dropped);
    }

    private boolean maySendNow(PoolOffer offer, UrgencyClass urgencyClass, long nowNanos) {
        int inFlight = mInFlight.size();
        boolean late = latestInTimeStart(offer, urgencyClass) - nowNanos < 0;
        return !hasEquallyUrgentQueued(offer.urgency())
                && mConcurrencyLimit.admits(inFlight)
                && (!late || (mLateQueue.isEmpty() && mConcurrencyLimit.admitsLate(inFlight)));
    }

    /** Returns whether something as urgent waits that can be in time. */
    private boolean hasEquallyUrgentQueued(int urgency) {
        return mClasses.headMap(urgency, true).values().stream().anyMatch(c -> !c.mQueue.isEmpty());
    }

    private boolean isKnown(AttemptId id) {
        return mQueuedOffers.containsKey(id) || mInFlight.containsKey(id);
    }

    private UrgencyClass classOf(PoolOffer offer, long nowNanos) {
        return mClasses.computeIfAbsent(offer.urgency(), key -> new UrgencyClass(nowNanos));
    }

    /** Late work waits for a part of the time it has left, unless too much does. */
    private AdmissionDecision offerLate(
            PoolOffer offer, UrgencyClass urgencyClass, TeamState team, long nowNanos) {
        long retryAfterMillis = retryAfterMillis(offer, urgencyClass, nowNanos);
        if (mDraining) {
            return new AdmissionDecision.Refused(RefusalReason.LEAVING, retryAfterMillis);
        }
        if (!mMechanisms.isEnabled(Mechanism.LATE_QUEUE)) {
            return new AdmissionDecision.Refused(RefusalReason.DEADLINE, retryAfterMillis);
        }
        long latestStartNanos = latestLateStart(offer, urgencyClass, nowNanos);
        long waitNanos = lateWaitNanos(nowNanos);
        if (nowNanos + waitNanos - latestStartNanos > 0) {
            return new AdmissionDecision.Refused(RefusalReason.DEADLINE, retryAfterMillis);
        }
        enqueue(newEntry(offer, offer.deadlineNanos(), latestStartNanos), offer, team, true);
        return new AdmissionDecision.Queued(TimeUnit.NANOSECONDS.toMillis(waitNanos));
    }

    private long lateWaitNanos(long nowNanos) {
        double rate = sendRatePerSecond(nowNanos) / (mInTimeEntries.isEmpty() ? 1 : LATE_INTERVAL);
        return (long) ((mLateEntries.size() + 1) / rate * TimeUnit.SECONDS.toNanos(1));
    }

    private static long latestLateStart(PoolOffer offer, UrgencyClass urgencyClass, long nowNanos) {
        long leftNanos = offer.deadlineNanos() - nowNanos - urgencyClass.serviceTimeNanos();
        double maxSilenceNanos = MAX_LATE_WAIT_OBJECTIVES * offer.objectiveNanos();
        return nowNanos + (long) Math.min(LATE_WAIT_FRACTION * leftNanos, maxSilenceNanos);
    }

    /** Returns how long a request would wait behind those that go before it. */
    private long expectedWaitNanos(
            UrgencyClass urgencyClass, TeamState team, PoolOffer offer, long nowNanos) {
        double ahead = urgencyClass.mQueue.tokensAhead(team, offer.objectiveDeadlineNanos());
        double rate = Math.max(MIN_RATE_PER_SECOND, sendRatePerSecond(urgencyClass, nowNanos));
        return (long) (ahead / rate * TimeUnit.SECONDS.toNanos(1));
    }

    /** Classes share by what they offer and may expect. */
    private double sendRatePerSecond(UrgencyClass urgencyClass, long nowNanos) {
        double total = 0;
        double own = 0;
        double classShare = 1;
        for (var each : mClasses.values()) {
            double offered = classShare * each.offeredPerSecond(nowNanos);
            total += offered;
            own = each == urgencyClass ? offered : own;
            classShare = Math.max(MIN_CLASS_SHARE, classShare * CLASS_SHARE_RATIO);
        }
        return sendRatePerSecond(nowNanos) * own / Math.max(1, total);
    }

    /** Ends make room; at the onset of a load there is more room than they tell. */
    private double sendRatePerSecond(long nowNanos) {
        double rate = (mEndRate.perSecond(nowNanos) + mSendRate.perSecond(nowNanos)) / 2;
        return Math.max(MIN_RATE_PER_SECOND, rate);
    }

    /**
     * Returns about when what waits now has been sent; what is late by then loses nothing by coming
     * back later still, when it may meet more room.
     */
    private long retryAfterMillis(PoolOffer offer, UrgencyClass urgencyClass, long nowNanos) {
        double backlogMillis = 1_000.0 * (queued() + 1) / sendRatePerSecond(nowNanos);
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(offer.deadlineNanos() - nowNanos);
        long latestStartMillis =
                TimeUnit.NANOSECONDS.toMillis(latestInTimeStart(offer, urgencyClass) - nowNanos);
        double millis =
                backlogMillis < latestStartMillis
                        ? backlogMillis
                        : Math.max(backlogMillis, LATE_RETRY_FRACTION * leftMillis);
        return Math.clamp((long) millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    }

    private QueueEntry newInTimeEntry(PoolOffer offer, UrgencyClass urgencyClass) {
        return newEntry(
                offer, offer.objectiveDeadlineNanos(), latestInTimeStart(offer, urgencyClass));
    }

    /** The limit sees to it that replicas begin within a part of the objective again. */
    private static long latestInTimeStart(PoolOffer offer, UrgencyClass urgencyClass) {
        double limitedNanos = ConcurrencyLimit.FIRST_BYTE_FRACTION * offer.objectiveNanos();
        return offer.objectiveDeadlineNanos()
                - (long) Math.min(limitedNanos, urgencyClass.firstByteNanos());
    }

    private QueueEntry newEntry(PoolOffer offer, long dueNanos, long latestStartNanos) {
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

    private void enqueue(QueueEntry entry, PoolOffer offer, TeamState team, boolean late) {
        AttemptId id = offer.id();
        mQueuedOffers.put(id, offer);
        (late ? mLateEntries : mInTimeEntries).put(id, entry);
        (late ? mLateQueue : mClasses.get(offer.urgency()).mQueue).add(team, entry);
        mByLatestStart.add(entry);
        team.mQueued++;
    }

    private PoolOffer removeQueued(QueueEntry entry, boolean late) {
        FairQueue queue = late ? mLateQueue : mClasses.get(entry.offer().priority()).mQueue;
        boolean removed = queue.remove(entry);
        Invariants.check(removed, "request %s does not wait", entry.offer().id());
        return untrack(entry);
    }

    private PoolOffer untrack(QueueEntry entry) {
        AttemptId id = entry.offer().id();
        mInTimeEntries.remove(id);
        mLateEntries.remove(id);
        mByLatestStart.remove(entry);
        mTeams.get(entry.offer().team()).mQueued--;
        return mQueuedOffers.remove(id);
    }

    /** What can't be in time any more waits with the late; what waited there too long is told. */
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
        UrgencyClass urgencyClass = classOf(offer, nowNanos);
        var team = mTeams.get(offer.team());
        boolean requeued =
                !late
                        && offerLate(offer, urgencyClass, team, nowNanos)
                                instanceof AdmissionDecision.Queued;
        if (!requeued) {
            long retryAfterMillis = retryAfterMillis(offer, urgencyClass, nowNanos);
            dropped.add(
                    new PoolPollResult.Dropped(offer, RefusalReason.DEADLINE, retryAfterMillis));
        }
    }

    /** Returns where the next request comes from; absent while none may be sent. */
    private Optional<FairQueue> nextQueue(long nowNanos) {
        int inFlight = mInFlight.size();
        if (!mConcurrencyLimit.admits(inFlight)) {
            return Optional.empty();
        }
        boolean hasRoomForLate = !mLateQueue.isEmpty() && mConcurrencyLimit.admitsLate(inFlight);
        boolean isLateTurn =
                !mLateQueue.isEmpty()
                        && !mInTimeEntries.isEmpty()
                        && (mSendCount + 1) % LATE_INTERVAL == 0;
        Optional<FairQueue> inTime =
                mostUnderserved(nowNanos).map(urgencyClass -> urgencyClass.mQueue);
        return isLateTurn || (inTime.isEmpty() && hasRoomForLate)
                ? Optional.of(mLateQueue)
                : inTime;
    }

    private PoolOffer sendNext(FairQueue queue, long nowNanos) {
        mSendCount++;
        PoolOffer offer = untrack(queue.take(team -> true));
        send(offer, mTeams.get(offer.team()), nowNanos);
        return offer;
    }

    /** Returns the waiting class that was sent the smallest part, beside what it may expect. */
    private Optional<UrgencyClass> mostUnderserved(long nowNanos) {
        UrgencyClass next = null;
        double minRatio = Double.POSITIVE_INFINITY;
        double classShare = 1;
        for (var urgencyClass : mClasses.values()) {
            double ratio = urgencyClass.sentFraction(nowNanos) / classShare;
            if (!urgencyClass.mQueue.isEmpty() && ratio < minRatio) {
                minRatio = ratio;
                next = urgencyClass;
            }
            classShare = Math.max(MIN_CLASS_SHARE, classShare * CLASS_SHARE_RATIO);
        }
        return Optional.ofNullable(next);
    }

    private void send(PoolOffer offer, TeamState team, long nowNanos) {
        mInFlight.put(offer.id(), new SentOffer(offer, nowNanos));
        team.mRunning++;
        mSendRate.add(nowNanos);
        mConcurrencyLimit.onSent();
        classOf(offer, nowNanos).onSent(nowNanos);
    }

    private void forget(TeamId team) {
        mClasses.values().forEach(each -> each.mQueue.forget(team));
        mLateQueue.forget(team);
    }
}
