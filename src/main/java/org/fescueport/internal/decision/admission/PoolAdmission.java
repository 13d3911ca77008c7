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
    private static final double LESS_URGENT_PART = 0.85;

    /** No class may expect less than this, however many come before it. */
    private static final double LEAST_EXPECTED = 0.4;

    /** Part of the time until the latest start for which a request may be expected to wait. */
    private static final double SAFE_PART = 0.8;

    /** One in so many goes to late work while other work waits, so that it is not starved. */
    private static final int LATE_TURN = 16;

    /** Part of the time it has left for which late work waits before its caller is told. */
    private static final double LATE_WAIT_PART = 0.3;

    /** The same in objectives; callers take a longer silence for a lost request. */
    private static final double LATE_OBJECTIVES = 1.5;

    /** Part of the time it has left after which late work is told to come back. */
    private static final double LATE_RETURN_PART = 0.15;

    private static final double PACE_MEMORY_SECONDS = 1;
    private static final double LEAST_PACE_PER_SECOND = 1;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 4_000;
    private static final double EQUAL_WEIGHT = 1;

    private record Sent(PoolOffer offer, long atNanos) {}

    private final Mechanisms mMechanisms;
    private final FlowLimit mLimit;
    private final TreeMap<Integer, UrgencyClass> mClasses = new TreeMap<>();
    private final FairQueue mLate = new FairQueue();
    private final TeamRegistry mTeams = new TeamRegistry(this::forget);
    private final Map<AttemptId, PoolOffer> mOffers = new HashMap<>();
    private final Map<AttemptId, Waiting> mInTime = new HashMap<>();
    private final Map<AttemptId, Waiting> mLateWaiting = new HashMap<>();
    private final TreeSet<Waiting> mByLatestStart = new TreeSet<>(Waiting.BY_LATEST_START);
    private final Map<AttemptId, Sent> mInFlight = new HashMap<>();
    private final DecayingRate mEnds;
    private final DecayingRate mStarts;
    private long mSequence;
    private int mTurn;
    private boolean mLeaving;

    private PoolAdmission(Mechanisms mechanisms, long nowNanos) {
        mMechanisms = mechanisms;
        mLimit = new FlowLimit(mechanisms);
        mEnds = new DecayingRate(PACE_MEMORY_SECONDS, nowNanos);
        mStarts = new DecayingRate(PACE_MEMORY_SECONDS, nowNanos);
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
    public void onFleet(double slots, int nodes) {
        mLimit.onFleet(slots, nodes);
    }

    /** Takes in how many requests the replicas hold for each of their slots, where they tell. */
    public void onFill(double heldPerSlot) {
        mLimit.onFill(heldPerSlot);
    }

    /** Notes that a replica turned a request away for want of room. */
    public void onFull() {
        mLimit.onFull(mInFlight.size());
    }

    /**
     * Notes the first piece of an answer.
     *
     * @param sentNanos when the request went to the replica that answers
     */
    public void onFirstPiece(AttemptId id, long sentNanos, long nowNanos) {
        Sent sent = mInFlight.get(id);
        if (sent != null) {
            long time = nowNanos - sentNanos;
            classOf(sent.offer(), nowNanos).onFirstPiece(time);
            mLimit.onAnswerTime(
                    time, sent.offer().objectiveNanos(), mInFlight.size(), waiting() > 0);
        }
    }

    /** Notes that a request that was sent has ended, in whatever way. */
    public void onEnded(AttemptId id, long nowNanos) {
        Sent sent = mInFlight.remove(id);
        if (sent == null) {
            return;
        }
        mEnds.add(nowNanos);
        mLimit.onEnded();
        mTeams.get(sent.offer().team()).mRunning--;
        classOf(sent.offer(), nowNanos).onEnded(nowNanos - sent.atNanos());
    }

    /** Takes out a request that its caller gave up; false when it does not wait. */
    public boolean cancel(AttemptId id) {
        Waiting waiting = mInTime.get(id);
        boolean late = waiting == null;
        waiting = late ? mLateWaiting.get(id) : waiting;
        if (waiting == null) {
            return false;
        }
        takeOut(waiting, late);
        return true;
    }

    /** Returns how many requests are at replicas. */
    public int inFlight() {
        return mInFlight.size();
    }

    /** Returns how many requests wait. */
    public int waiting() {
        return mInTime.size() + mLateWaiting.size();
    }

    /** Returns whether this node sends less than it is offered, or would. */
    public boolean isLimited() {
        return mLimit.isSet();
    }

    /** Decides about a request; its id must not be known here already. */
    public Admission offer(PoolOffer offer, long nowNanos) {
        Invariants.check(!isKnown(offer.id()), "request %s is offered twice", offer.id());
        mTeams.prune(nowNanos);
        var team = mTeams.touch(offer.team(), EQUAL_WEIGHT, nowNanos);
        UrgencyClass urgency = classOf(offer, nowNanos);
        urgency.onOffered(nowNanos);
        if (isRoomFor(offer, urgency, nowNanos)) {
            urgency.mQueue.charge(team, waitingInTime(offer, urgency));
            send(offer, team, nowNanos);
            return new Admission.Admitted();
        }
        long wait = waitNanos(urgency, team, offer, nowNanos);
        if (wait <= SAFE_PART * (latestInTimeStart(offer, urgency) - nowNanos)) {
            enqueue(waitingInTime(offer, urgency), offer, team, false);
            return new Admission.Queued(TimeUnit.NANOSECONDS.toMillis(wait));
        }
        return offerLate(offer, urgency, team, nowNanos);
    }

    /** Takes no more late work; what waits late is given up by the next poll. */
    public void leave() {
        mLeaving = true;
    }

    /** Returns whether nothing is at replicas and nothing waits. */
    public boolean isIdle() {
        return mInFlight.isEmpty() && waiting() == 0;
    }

    /** Sends what may be sent now, and gives up what has no prospect any more. */
    public PoolStep poll(long nowNanos) {
        List<PoolOffer> started = new ArrayList<>();
        List<PoolStep.GivenUp> givenUp = new ArrayList<>();
        if (mLeaving) {
            List.copyOf(mLateWaiting.values())
                    .forEach(each -> giveUp(each, true, nowNanos, givenUp));
        }
        expire(nowNanos, givenUp);
        for (var queue = nextQueue(nowNanos); queue.isPresent(); queue = nextQueue(nowNanos)) {
            started.add(startFrom(queue.get(), nowNanos));
        }
        return new PoolStep(started, givenUp);
    }

    private boolean isRoomFor(PoolOffer offer, UrgencyClass urgency, long nowNanos) {
        int inFlight = mInFlight.size();
        boolean late = latestInTimeStart(offer, urgency) - nowNanos < 0;
        return !isOutranked(offer.urgency())
                && mLimit.admits(inFlight)
                && (!late || (mLate.isEmpty() && mLimit.admitsLate(inFlight)));
    }

    /** Returns whether something as urgent waits that can be in time. */
    private boolean isOutranked(int urgency) {
        return mClasses.headMap(urgency, true).values().stream().anyMatch(c -> !c.mQueue.isEmpty());
    }

    private boolean isKnown(AttemptId id) {
        return mOffers.containsKey(id) || mInFlight.containsKey(id);
    }

    private UrgencyClass classOf(PoolOffer offer, long nowNanos) {
        return mClasses.computeIfAbsent(offer.urgency(), key -> new UrgencyClass(nowNanos));
    }

    /** Late work waits for a part of the time it has left, unless too much does. */
    private Admission offerLate(
            PoolOffer offer, UrgencyClass urgency, TeamState team, long nowNanos) {
        long millis = retryAfterMillis(offer, urgency, nowNanos);
        if (mLeaving) {
            return new Admission.Refused(RefusalReason.LEAVING, millis);
        }
        if (!mMechanisms.isEnabled(Mechanism.LATE_QUEUE)) {
            return new Admission.Refused(RefusalReason.DEADLINE, millis);
        }
        long latest = latestLateStart(offer, urgency, nowNanos);
        long wait = lateWaitNanos(nowNanos);
        if (nowNanos + wait - latest > 0) {
            return new Admission.Refused(RefusalReason.DEADLINE, millis);
        }
        enqueue(waiting(offer, offer.endNanos(), latest), offer, team, true);
        return new Admission.Queued(TimeUnit.NANOSECONDS.toMillis(wait));
    }

    private long lateWaitNanos(long nowNanos) {
        double pace = pacePerSecond(nowNanos) / (mInTime.isEmpty() ? 1 : LATE_TURN);
        return (long) ((mLateWaiting.size() + 1) / pace * TimeUnit.SECONDS.toNanos(1));
    }

    private static long latestLateStart(PoolOffer offer, UrgencyClass urgency, long nowNanos) {
        long left = offer.endNanos() - nowNanos - urgency.serviceNanos();
        double silence = LATE_OBJECTIVES * offer.objectiveNanos();
        return nowNanos + (long) Math.min(LATE_WAIT_PART * left, silence);
    }

    /** Returns how long a request would wait behind those that go before it. */
    private long waitNanos(UrgencyClass urgency, TeamState team, PoolOffer offer, long nowNanos) {
        double ahead = urgency.mQueue.tokensAhead(team, offer.aimNanos());
        double pace = Math.max(LEAST_PACE_PER_SECOND, pacePerSecond(urgency, nowNanos));
        return (long) (ahead / pace * TimeUnit.SECONDS.toNanos(1));
    }

    /** Classes share by what they offer and may expect. */
    private double pacePerSecond(UrgencyClass urgency, long nowNanos) {
        double all = 0;
        double own = 0;
        double expected = 1;
        for (var each : mClasses.values()) {
            double offered = expected * each.offeredPerSecond(nowNanos);
            all += offered;
            own = each == urgency ? offered : own;
            expected = Math.max(LEAST_EXPECTED, expected * LESS_URGENT_PART);
        }
        return pacePerSecond(nowNanos) * own / Math.max(1, all);
    }

    /** Ends make room; at the onset of a load there is more room than they tell. */
    private double pacePerSecond(long nowNanos) {
        double pace = (mEnds.perSecond(nowNanos) + mStarts.perSecond(nowNanos)) / 2;
        return Math.max(LEAST_PACE_PER_SECOND, pace);
    }

    /**
     * Returns about when what waits now has been sent; what is late by then loses nothing by coming
     * back later still, when it may meet more room.
     */
    private long retryAfterMillis(PoolOffer offer, UrgencyClass urgency, long nowNanos) {
        double backlog = 1_000.0 * (waiting() + 1) / pacePerSecond(nowNanos);
        long left = TimeUnit.NANOSECONDS.toMillis(offer.endNanos() - nowNanos);
        long latest = TimeUnit.NANOSECONDS.toMillis(latestInTimeStart(offer, urgency) - nowNanos);
        double millis = backlog < latest ? backlog : Math.max(backlog, LATE_RETURN_PART * left);
        return Math.clamp((long) millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    }

    private Waiting waitingInTime(PoolOffer offer, UrgencyClass urgency) {
        return waiting(offer, offer.aimNanos(), latestInTimeStart(offer, urgency));
    }

    /** The limit sees to it that replicas begin within a part of the objective again. */
    private static long latestInTimeStart(PoolOffer offer, UrgencyClass urgency) {
        double limited = FlowLimit.ANSWER_PART * offer.objectiveNanos();
        return offer.aimNanos() - (long) Math.min(limited, urgency.firstPieceNanos());
    }

    private Waiting waiting(PoolOffer offer, long dueNanos, long latestStartNanos) {
        var work =
                new WorkOffer(
                        offer.id(),
                        offer.team(),
                        EQUAL_WEIGHT,
                        offer.urgency(),
                        dueNanos,
                        Work.of(0, 1));
        return new Waiting(work, latestStartNanos, mSequence++);
    }

    private void enqueue(Waiting waiting, PoolOffer offer, TeamState team, boolean late) {
        AttemptId id = offer.id();
        mOffers.put(id, offer);
        (late ? mLateWaiting : mInTime).put(id, waiting);
        (late ? mLate : mClasses.get(offer.urgency()).mQueue).add(team, waiting);
        mByLatestStart.add(waiting);
        team.mQueued++;
    }

    private PoolOffer takeOut(Waiting waiting, boolean late) {
        FairQueue queue = late ? mLate : mClasses.get(waiting.offer().priority()).mQueue;
        boolean removed = queue.remove(waiting);
        Invariants.check(removed, "request %s does not wait", waiting.offer().id());
        return forgetWaiting(waiting);
    }

    private PoolOffer forgetWaiting(Waiting waiting) {
        AttemptId id = waiting.offer().id();
        mInTime.remove(id);
        mLateWaiting.remove(id);
        mByLatestStart.remove(waiting);
        mTeams.get(waiting.offer().team()).mQueued--;
        return mOffers.remove(id);
    }

    /** What can't be in time any more waits with the late; what waited there too long is told. */
    private void expire(long nowNanos, List<PoolStep.GivenUp> givenUp) {
        while (!mByLatestStart.isEmpty()
                && mByLatestStart.first().latestStartNanos() - nowNanos < 0) {
            Waiting over = mByLatestStart.first();
            giveUp(over, mLateWaiting.containsKey(over.offer().id()), nowNanos, givenUp);
        }
    }

    private void giveUp(Waiting over, boolean late, long nowNanos, List<PoolStep.GivenUp> givenUp) {
        PoolOffer offer = takeOut(over, late);
        UrgencyClass urgency = classOf(offer, nowNanos);
        var team = mTeams.get(offer.team());
        boolean waits =
                !late && offerLate(offer, urgency, team, nowNanos) instanceof Admission.Queued;
        if (!waits) {
            long millis = retryAfterMillis(offer, urgency, nowNanos);
            givenUp.add(new PoolStep.GivenUp(offer, RefusalReason.DEADLINE, millis));
        }
    }

    /** Returns where the next request comes from; absent while none may be sent. */
    private Optional<FairQueue> nextQueue(long nowNanos) {
        int inFlight = mInFlight.size();
        if (!mLimit.admits(inFlight)) {
            return Optional.empty();
        }
        boolean roomForLate = !mLate.isEmpty() && mLimit.admitsLate(inFlight);
        boolean lateTurn = !mLate.isEmpty() && !mInTime.isEmpty() && (mTurn + 1) % LATE_TURN == 0;
        Optional<FairQueue> inTime = mostBehind(nowNanos).map(urgency -> urgency.mQueue);
        return lateTurn || (inTime.isEmpty() && roomForLate) ? Optional.of(mLate) : inTime;
    }

    private PoolOffer startFrom(FairQueue queue, long nowNanos) {
        mTurn++;
        PoolOffer offer = forgetWaiting(queue.take(team -> true));
        send(offer, mTeams.get(offer.team()), nowNanos);
        return offer;
    }

    /** Returns the waiting class that was sent the smallest part, beside what it may expect. */
    private Optional<UrgencyClass> mostBehind(long nowNanos) {
        UrgencyClass next = null;
        double least = Double.POSITIVE_INFINITY;
        double expected = 1;
        for (var urgency : mClasses.values()) {
            double part = urgency.sentPart(nowNanos) / expected;
            if (!urgency.mQueue.isEmpty() && part < least) {
                least = part;
                next = urgency;
            }
            expected = Math.max(LEAST_EXPECTED, expected * LESS_URGENT_PART);
        }
        return Optional.ofNullable(next);
    }

    private void send(PoolOffer offer, TeamState team, long nowNanos) {
        mInFlight.put(offer.id(), new Sent(offer, nowNanos));
        team.mRunning++;
        mStarts.add(nowNanos);
        mLimit.onSent();
        classOf(offer, nowNanos).onSent(nowNanos);
    }

    private void forget(TeamId team) {
        mClasses.values().forEach(each -> each.mQueue.forget(team));
        mLate.forget(team);
    }
}
