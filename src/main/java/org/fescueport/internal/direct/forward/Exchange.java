package org.fescueport.internal.direct.forward;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.config.Route;
import org.fescueport.internal.direct.config.Team;
import org.fescueport.internal.direct.forward.ForwardingMetrics.End;
import org.fescueport.internal.direct.place.Affinities;

/**
 * One request of a caller, from its last byte to the last byte of its answer.
 *
 * <p>It is sent to one replica at a time. What may run once is sent once, unless the replica states
 * that it has not run it; what may be repeated goes to another replica within the route's attempts
 * and the fleet's retry budget; a stream that may be resumed goes on behind the last event that was
 * passed on. Used by the event loop alone.
 */
final class Exchange implements PoolGates.Passenger {
    /** Connections that are tried for one sending before the request is refused. */
    private static final int MAX_UNSENT = 4;

    /** A replica answers so that has no room. */
    private static final int UNAVAILABLE = 503;

    /** From this status on an answer is a failure of the replica. */
    private static final int SERVER_FAILURE = 500;

    /** Stands for callers on open routes. */
    private static final TeamId NO_TEAM = TeamId.of("");

    private final ForwardingContext mContext;
    private final CallerSide mCaller;
    private final CallerRequest mRequest;
    private final ByteBuf mBody;
    private final Route mRoute;
    private final Optional<Team> mTeam;
    private final Verdict.Admitted mAdmitted;
    private final FleetConfiguration mConfiguration;
    private final Affinity mAffinity;
    private final PoolId mPool;
    private final RequestClock mTime;
    private final AnswerRelay mRelay;
    private final Set<NodeId> mTried = new HashSet<>();
    private int mSends;
    private int mUnsent;
    private boolean mMayHaveRun;
    private boolean mStuckTold;
    private Attempt mAttempt;
    private Optional<PoolGates.Ticket> mTicket = Optional.empty();
    private boolean mPieceSeen;
    private boolean mOver;

    private Exchange(
            ForwardingContext context,
            CallerSide caller,
            CallerRequest request,
            ByteBuf body,
            Verdict.Admitted admitted) {
        mContext = context;
        mCaller = caller;
        mRequest = request;
        mBody = body;
        mConfiguration = admitted.configuration();
        mRoute = admitted.route();
        mTeam = admitted.team();
        mAdmitted = admitted;
        mAffinity = Affinities.of(request.id(), request.prompt());
        mPool = mRoute.poolFor(mAffinity.key());
        mTime = RequestClock.start(context.clock(), mRoute, request.patienceMillis());
        mRelay = AnswerRelay.of(mRoute.kind(), caller, context.protocol());
    }

    /** Sends the request on its way; the body is handed over. */
    static Exchange begin(
            ForwardingContext context,
            CallerSide caller,
            CallerRequest request,
            ByteBuf body,
            Verdict.Admitted admitted) {
        var exchange = new Exchange(context, caller, request, body, admitted);
        context.budgets().onRequest(exchange.mPool);
        if (exchange.isPoison()) {
            exchange.refuse("replicas have died of this request");
        } else {
            exchange.enter();
        }
        return exchange;
    }

    private void enter() {
        long now = mContext.nowNanos();
        TeamId team = mTeam.map(Team::id).orElse(NO_TEAM);
        mTicket = Optional.of(mContext.gates().ticket(mPool));
        var offer = mTime.offer(mTicket.get().id(), team, mAdmitted.urgency());
        switch (mContext.gates().enter(mTicket.get(), offer, this, now)) {
            case AdmissionDecision.Admitted admitted -> sendToNext("first");
            case AdmissionDecision.Queued queued -> logWaiting(queued);
            case AdmissionDecision.Refused refused ->
                    onRefused(Duration.ofMillis(refused.retryAfterMillis()));
        }
    }

    @Override
    public void onAdmitted() {
        sendToNext("waited for room");
    }

    @Override
    public void onRefused(Duration retryAfter) {
        refuse(
                "the replicas of " + mPool + " have no room in time",
                RequestClock.spread(retryAfter, mContext.random()));
    }

    boolean isOver() {
        return mOver;
    }

    /** The caller has closed its connection: the work at the replica is stopped. */
    void onCallerLeft() {
        if (mOver) {
            return;
        }
        if (mAttempt != null) {
            mAttempt.giveUp();
        }
        end(End.CALLER_LEFT, "the caller closed its connection");
    }

    /** The caller takes the answer, or does not for the moment. */
    void onWritable(boolean writable) {
        if (mAttempt != null) {
            mAttempt.setReading(writable);
        }
    }

    /** Looks whether the time is over, or the replica has fallen silent. */
    void check(long nowNanos) {
        if (mOver) {
            return;
        }
        if (mTime.isOver(nowNanos)) {
            onTimeOver();
        } else if (mAttempt != null && isStuck(nowNanos)) {
            onStuck(mAttempt, nowNanos);
        }
    }

    private void onStuck(Attempt stuck, long nowNanos) {
        if (mStuckTold) {
            return;
        }
        mStuckTold = true;
        mContext.chooser().onFailure(stuck.replica(), nowNanos);
        if (mayRepeat() && takeRetry()) {
            mMayHaveRun = true;
            stuck.giveUp();
            log("moved", stuck, "the replica is silent");
            resend("silent");
        }
    }

    void onNotSent(Attempt attempt, String reason) {
        mAttempt = null;
        mUnsent++;
        mSends--;
        log("not-sent", attempt, reason);
        if (mUnsent < MAX_UNSENT) {
            sendToNext("not sent before");
        } else if (mRelay.hasBegun()) {
            cut(reason);
        } else if (mMayHaveRun) {
            fail(Refusal.Reason.UNKNOWN_OUTCOME, "it may have run, and no replica is reached now");
        } else {
            refuse(reason);
        }
    }

    void onHead(Attempt attempt, AnswerHead head) {
        if (head.notRun()) {
            return;
        }
        mMayHaveRun = true;
        if (!isOwn(head)) {
            attempt.giveUp();
            onLost(attempt, "an answer without its stamp or id");
        } else if (!head.isSuccess() && mRelay.hasBegun()) {
            attempt.giveUp();
            onLost(attempt, "status " + head.status() + " in the middle of an answer");
        } else {
            mRelay.onHead(head);
        }
    }

    void onContent(Attempt attempt, ByteBuf content) {
        if (!attempt.head().isPassedOn()) {
            content.release();
            return;
        }
        if (!mPieceSeen && attempt.head().isSuccess()) {
            mPieceSeen = true;
            mTicket.ifPresent(
                    ticket ->
                            mContext.gates()
                                    .onFirstPiece(
                                            ticket, attempt.begunNanos(), mContext.nowNanos()));
        }
        boolean first = !mRelay.hasBegun();
        boolean failure = attempt.head().status() >= SERVER_FAILURE;
        if (failure && mRelay.isTooLongToHold(content) && mayRepeat()) {
            content.release();
            attempt.giveUp();
            onLost(attempt, "a failure too long to be held");
            return;
        }
        mRelay.onContent(content);
        if (mRelay.isEventOverlong()) {
            attempt.giveUp();
            onLost(attempt, "an event without end");
            return;
        }
        if (first && mRelay.hasBegun()) {
            mContext.metrics().onFirstByte(mTime.elapsedNanos());
        }
    }

    void onPause(Attempt attempt) {
        mCaller.flush();
        if (!mCaller.isWritable()) {
            attempt.setReading(false);
        }
    }

    void onEnd(Attempt attempt, boolean byConnection) {
        mAttempt = null;
        AnswerHead head = attempt.head();
        long now = mContext.nowNanos();
        if (head.notRun()) {
            onNotRun(attempt, head);
            return;
        }
        if (byConnection && mRelay.isInsideEvent()) {
            onLost(attempt, "the stream ended inside an event");
            return;
        }
        if (head.status() >= SERVER_FAILURE || head.promisesNotRun()) {
            onFailedAnswer(attempt, head);
            return;
        }
        mContext.chooser().onSuccess(attempt.replica(), now);
        if (head.isSuccess() && mContext.crashes().isAnyHeld()) {
            mContext.crashes().onSucceeded(fingerprint());
        }
        mRelay.finish();
        end(End.ANSWERED, "status " + head.status());
    }

    private void onFailedAnswer(Attempt attempt, AnswerHead head) {
        mContext.chooser().onFailure(attempt.replica(), mContext.nowNanos());
        log("failed-answer", attempt, "status " + head.status());
        if (mayRepeat() && takeRetry()) {
            resend("failed answer");
        } else if (head.promisesNotRun()) {
            fail(Refusal.Reason.UNKNOWN_OUTCOME, "the replica's answer promises what it cannot");
        } else {
            mRelay.finish();
            end(End.ANSWERED, "status " + head.status());
        }
    }

    void onLost(Attempt attempt, String reason) {
        mAttempt = null;
        mMayHaveRun = true;
        long now = mContext.nowNanos();
        mContext.chooser().onFailure(attempt.replica(), now);
        mContext.crashes().onLost(fingerprint(), attempt.replica(), now);
        log("lost", attempt, reason);
        if (mayRepeat() && takeRetry()) {
            resend("lost");
        } else if (mRelay.hasBegun()) {
            cut(reason);
        } else {
            fail(Refusal.Reason.UNKNOWN_OUTCOME, "the replica's answer was lost: " + reason);
        }
    }

    private void onNotRun(Attempt attempt, AnswerHead head) {
        log("refused-by-replica", attempt, "status " + head.status());
        mContext.loads().onRefused(attempt.replica().id(), mContext.nowNanos());
        if (head.status() == UNAVAILABLE) {
            mTicket.ifPresent(ticket -> mContext.gates().onFull(ticket, mContext.nowNanos()));
        }
        mRelay.dropHeld();
        if (mSends < mRoute.maxAttempts() && hasTimeLeft() && takeRetry()) {
            sendToNext("refused by a replica");
        } else if (mMayHaveRun) {
            fail(Refusal.Reason.UNKNOWN_OUTCOME, "it may have run, and no replica answers now");
        } else if (mRelay.hasBegun()) {
            cut("no replica goes on with it");
        } else {
            refuse("the replica has no room");
        }
    }

    private void resend(String why) {
        mRelay.dropHeld();
        sendToNext(why);
    }

    private void sendToNext(String why) {
        long now = mContext.nowNanos();
        var chosen = mContext.chooser().choose(mPool, mAffinity, mTried, now);
        if (chosen.isEmpty()) {
            onNoReplica();
            return;
        }
        var replica = chosen.get().replica();
        mTried.add(replica.id());
        mSends++;
        checkSending();
        mAttempt = new Attempt(this, mContext, replica, mSends);
        mContext.metrics().onSend(mSends > 1);
        log("sent", mAttempt, why);
        var dispatch =
                new Dispatch(
                        replica,
                        mTeam.map(Team::id),
                        mTime.leftMillis(),
                        mAdmitted.priority(),
                        chosen.get().cacheHolder(),
                        mRelay.lastEventId().or(mRequest::resumeAfter));
        var message = mContext.protocol().writeRequest(mRequest, mBody, dispatch);
        boolean once = !mRoute.kind().isRepeatable();
        int connections = mConfiguration.maxConnections().getOrDefault(mPool, Integer.MAX_VALUE);
        var link = mContext.links().link(replica);
        link.send(message, mRequest.id(), once, connections, mAttempt);
    }

    private void checkSending() {
        Invariants.check(
                mRoute.kind().isRepeatable() || !mMayHaveRun,
                "request %s may have run and is sent again",
                mRequest.id());
        Invariants.check(
                mSends <= Math.max(1, mRoute.maxAttempts()),
                "request %s is sent %d times, route %s allows %d",
                mRequest.id(),
                mSends,
                mRoute.name(),
                mRoute.maxAttempts());
    }

    private void onNoReplica() {
        if (mRelay.hasBegun()) {
            cut("no other replica is there");
        } else if (mMayHaveRun) {
            fail(Refusal.Reason.UNKNOWN_OUTCOME, "it may have run, and no other replica is there");
        } else {
            refuse("no replica of " + mPool + " takes work");
        }
    }

    private void onTimeOver() {
        boolean sent = mMayHaveRun || (mAttempt != null && mAttempt.isSent());
        if (mAttempt != null) {
            mAttempt.giveUp();
        }
        if (mRelay.hasBegun()) {
            mCaller.abort();
            end(End.TIME_OVER, "the answer was cut at its time");
        } else if (sent) {
            fail(Refusal.Reason.TIME_OVER, "no answer came within the route's time");
        } else {
            refuse("it could not be sent in time");
        }
    }

    private boolean isStuck(long nowNanos) {
        Attempt attempt = mAttempt;
        boolean movesOn = mContext.mechanisms().isEnabled(Mechanism.MOVING_ON);
        if (!movesOn || !mRoute.kind().isRepeatable() || !mCaller.isWritable()) {
            return false;
        }
        Duration patience = mTime.silenceLimit(mRoute.kind(), mRelay.hasBegun());
        if (!mRoute.kind().isStream()) {
            return nowNanos - attempt.begunNanos() > patience.toNanos();
        }
        return mContext.health()
                .isSilent(attempt.replica().id(), attempt.begunNanos(), patience, nowNanos);
    }

    private boolean isPoison() {
        var crashes = mContext.crashes();
        return mContext.mechanisms().isEnabled(Mechanism.POISON)
                && crashes.isAnyHeld()
                && crashes.isPoison(fingerprint(), mContext.nowNanos());
    }

    /** Names the request however often and wherever its caller sends it. */
    private Fingerprint fingerprint() {
        byte[] start = (mRequest.method() + " " + mRequest.target() + "\n").getBytes(UTF_8);
        byte[] content = Arrays.copyOf(start, start.length + mBody.readableBytes());
        mBody.getBytes(mBody.readerIndex(), content, start.length, mBody.readableBytes());
        TeamId team = mTeam.map(Team::id).orElse(NO_TEAM);
        return Fingerprint.of(team, ContentHash.of(content));
    }

    private boolean mayRepeat() {
        return mRoute.kind().isRepeatable()
                && mRelay.isReplaceable()
                && mSends < mRoute.maxAttempts()
                && hasTimeLeft();
    }

    private boolean hasTimeLeft() {
        return mTime.isWorthSending();
    }

    private boolean takeRetry() {
        boolean taken = mContext.budgets().tryTake(mPool);
        if (!taken) {
            mContext.log().decision("retry-budget-empty").with("request", mRequest.id()).write();
        }
        return taken;
    }

    /** Returns whether the answer is the replica's own to this request. */
    private static boolean isOwn(AnswerHead head) {
        return head.requestId().isPresent() && (head.signed() || !head.isSuccess());
    }

    private void refuse(String message) {
        var opensIn = mContext.chooser().opensIn(mPool, mContext.nowNanos());
        refuse(message, mTime.retryAfter(opensIn, mContext.random()));
    }

    private void refuse(String message, Duration retryAfter) {
        Invariants.check(!mMayHaveRun, "request %s may have run and is refused", mRequest.id());
        mCaller.answer(
                mContext.protocol()
                        .writeRefusal(Refusal.notRun(mRequest.id(), message, retryAfter)));
        end(End.REFUSED, message);
    }

    private void fail(Refusal.Reason reason, String message) {
        var refusal = Refusal.of(reason, Optional.of(mRequest.id()), message);
        mCaller.answer(mContext.protocol().writeRefusal(refusal));
        end(reason == Refusal.Reason.TIME_OVER ? End.TIME_OVER : End.FAILED, message);
    }

    private void cut(String reason) {
        mCaller.abort();
        end(End.CUT, reason);
    }

    private void end(End end, String reason) {
        mOver = true;
        mAttempt = null;
        mBody.release();
        mRelay.dropHeld();
        mContext.metrics().onEnd(end);
        mContext.log()
                .decision("ended")
                .with("request", mRequest.id())
                .with("end", end)
                .with("reason", reason)
                .with("route", mRoute.name())
                .with("team", mTeam.map(Team::id).map(TeamId::name).orElse(""))
                .with("version", mConfiguration.version())
                .with("sends", mSends)
                .with("ms", mTime.elapsedNanos() / 1_000_000)
                .write();
        mTicket.ifPresent(ticket -> mContext.gates().leave(ticket, mContext.nowNanos()));
    }

    private void logWaiting(AdmissionDecision.Queued queued) {
        mContext.log()
                .decision("waiting")
                .with("request", mRequest.id())
                .with("pool", mPool)
                .with("expected_ms", queued.expectedWaitMillis())
                .with("waiting", mContext.gates().waiting())
                .with("left_ms", mTime.leftMillis())
                .write();
    }

    private void log(String event, Attempt attempt, String reason) {
        long now = mContext.nowNanos();
        mContext.log()
                .decision(event)
                .with("request", mRequest.id())
                .with("replica", attempt.replica().id())
                .with("send", attempt.number())
                .with("reason", reason)
                .with("prefix", mRequest.prompt().sharedPart())
                .with("held", mContext.loads().held(attempt.replica().id(), now))
                .with("left_ms", mTime.leftMillis())
                .write();
    }
}
