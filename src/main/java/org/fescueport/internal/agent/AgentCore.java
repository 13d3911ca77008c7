package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import io.opentelemetry.api.trace.SpanKind;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.admission.AdmissionLimits;
import org.fescueport.internal.decision.admission.AdmissionQueue;
import org.fescueport.internal.decision.admission.PollResult;
import org.fescueport.internal.decision.admission.ThroughputEstimate;
import org.fescueport.internal.decision.answer.AnswerBuffer;
import org.fescueport.internal.decision.answer.Replay;
import org.fescueport.internal.decision.attempt.AttemptRegister;
import org.fescueport.internal.decision.attempt.RefusalReason;
import org.fescueport.internal.decision.attempt.RefuseResult;
import org.fescueport.internal.decision.attempt.SubmitResult;
import org.fescueport.internal.decision.placement.LoadBound;
import org.fescueport.internal.log.poison.PoisonGuard;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.generated.Credit;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.internal.wire.generated.Load;
import org.fescueport.internal.wire.generated.Resume;
import org.fescueport.internal.wire.generated.Submit;

/**
 * Decides and follows every attempt at one backend server.
 *
 * <p>All of its state is changed on one executor thread, the loop; frames and the backend server's
 * events are handed to it.
 */
final class AgentCore {
    private static final Duration KEEP_ANSWER = Duration.ofSeconds(30);
    private static final AttemptRegister.Limits REGISTER_LIMITS =
            new AttemptRegister.Limits(250_000, 50_000, Duration.ofMinutes(2).toNanos());
    private static final AnswerBuffer.Limits BUFFER_LIMITS =
            new AnswerBuffer.Limits(256 * 1024, 12 * 1024 * 1024, 50_000, KEEP_ANSWER.toNanos());
    private static final double DEFAULT_LOAD_BOUND = 1.25;
    private static final long FLOOR_TOKENS = 300;

    /** Speeds of one request in tokens a second, until they have been seen. */
    private static final double PREFILL_PER_SECOND = 20_000;

    private static final double DECODE_PER_SECOND = 50;

    /** Who this agent is. */
    record Identity(String node, long incarnation, String failureDomain) {}

    private final Identity mIdentity;
    private final SubmitGuard mGuard;
    private final Clock mClock;
    private final Telemetry mTelemetry;
    private final AgentCounters mCounters;
    private final AttemptRegister mRegister = AttemptRegister.create(REGISTER_LIMITS);
    private final AnswerBuffer mBuffer = AnswerBuffer.create(BUFFER_LIMITS);
    private final Refusals mRefusals;
    private final RunLifecycle mLifecycle;
    private final AdmissionQueue mQueue;
    private CacheHandover mHandover;
    private long mHandoverSeconds;
    private final ThroughputEstimate mSpeeds =
            ThroughputEstimate.withInitialRates(PREFILL_PER_SECOND, DECODE_PER_SECOND);
    private final Map<AttemptId, Run> mRuns = new HashMap<>();
    private final ArrayDeque<Run> mEnded = new ArrayDeque<>();
    private final Set<FrameConnection> mConnections = new HashSet<>();
    private int mActive;

    private AgentCore(
            Identity identity,
            Backend backend,
            int inFlight,
            int queue,
            Executor loop,
            Clock clock,
            Telemetry telemetry) {
        mIdentity = identity;
        mGuard = SubmitGuard.of(identity, clock);
        var bound = LoadBound.of(DEFAULT_LOAD_BOUND, FLOOR_TOKENS);
        mQueue = AdmissionQueue.create(new AdmissionLimits(inFlight, queue, bound), mSpeeds);
        mClock = clock;
        mTelemetry = telemetry;
        mCounters = AgentCounters.of(telemetry);
        mRefusals = Refusals.of(identity.node(), mCounters, this::load);
        mLifecycle =
                RunLifecycle.of(
                        new RunLifecycle.Parts(
                                backend,
                                mRegister,
                                mBuffer,
                                mQueue,
                                mSpeeds,
                                mCounters,
                                this::load,
                                loop,
                                clock),
                        new Ends());
    }

    static AgentCore create(
            Identity identity,
            Backend backend,
            int inFlight,
            int queue,
            Executor loop,
            Clock clock,
            Telemetry telemetry) {
        return new AgentCore(identity, backend, inFlight, queue, loop, clock, telemetry);
    }

    /**
     * Sets what grants runs that may not be repeated, and what keeps poison away; called once,
     * before the first frame.
     */
    void use(KeyedRuns keyed, PoisonGuard guard) {
        mLifecycle.use(keyed, guard);
    }

    /** Sets what brings caches from other agents; without it none is brought. */
    void use(CacheImport cacheImport) {
        mLifecycle.use(cacheImport);
    }

    /** Sets what hands caches over on a planned leave, for at most so long. */
    void use(CacheHandover handover, long seconds) {
        mHandover = handover;
        mLifecycle.use(handover);
        mHandoverSeconds = seconds;
    }

    /** Takes the declared bound on the load, as a multiple of the pool's mean. */
    void onLoadBound(double factor) {
        mQueue.setLoadBound(LoadBound.of(factor, FLOOR_TOKENS));
    }

    /** Takes the pool's mean load, in tokens; 0 while it is unknown. */
    void onMean(long tokens) {
        mQueue.setPoolMeanTokens(tokens);
    }

    void onOpen(FrameConnection connection) {
        mConnections.add(connection);
    }

    void onClosed(FrameConnection connection) {
        mConnections.remove(connection);
        for (var run : mRuns.values()) {
            if (run.isAttachedTo(connection)) {
                run.detach();
                mBuffer.detach(run.id(), now());
            }
        }
    }

    void onSubmit(FrameConnection connection, Submit submit) {
        mCounters.onSubmit(submit.getTeam());
        var id = Frames.idOf(submit.getKey());
        long now = now();
        long deadline = now + TimeUnit.MILLISECONDS.toNanos(submit.getDeadlineInMs());
        var reason = mGuard.reasonAgainst(submit);
        if (reason.isPresent()) {
            mRegister.refuse(id, reason.get(), deadline, now);
            mGuard.remind(connection);
            mRefusals.tellNotRun(connection, id, reason.get());
            return;
        }
        switch (mRegister.submit(id, !submit.getNotRepeatable(), deadline, now)) {
            case SubmitResult.Accepted accepted -> {
                accepted.superseded().forEach(this::dropSuperseded);
                admit(connection, id, submit, deadline);
            }
            case SubmitResult.Refused refused ->
                    mRefusals.tellNotRun(connection, id, refused.reason());
            case SubmitResult.Duplicate ignored -> mCounters.onDuplicate();
            case SubmitResult.Unrecorded ignored -> mRefusals.tellUnknown(connection, id);
        }
    }

    void onCancel(AttemptId id) {
        mCounters.onCancel();
        var run = mRuns.get(id);
        if (run == null) {
            long latest = now() + KEEP_ANSWER.toNanos();
            mRegister.refuse(id, RefusalReason.CANCELLED, latest, now());
            return;
        }
        if (run.isEnded()) {
            return;
        }
        if (run.permit() != null) {
            // What may not be repeated is let finish, so that its answer can still be asked for.
            run.detach();
            return;
        }
        run.cancelBackend();
        if (run.isStarted()) {
            mLifecycle.end(
                    run, BackendListener.End.failed(Outcome.FAILED_AFTER_RUN, "cancelled", ""));
            mBuffer.discard(id);
        } else {
            mRegister.refuse(id, RefusalReason.CANCELLED, run.deadlineNanos(), now());
            mLifecycle.end(run, BackendListener.End.failed(Outcome.NOT_RUN, "cancelled", ""));
        }
    }

    /**
     * Settles an attempt for a router that lost its connection: refuses it or tells what became.
     */
    void onRefuse(FrameConnection connection, AttemptId id) {
        long latest = now() + KEEP_ANSWER.toNanos();
        switch (mRegister.refuse(id, RefusalReason.GIVEN_UP, latest, now())) {
            case RefuseResult.Recorded recorded -> {
                var run = mRuns.get(id);
                if (run != null && !run.isEnded()) {
                    mLifecycle.end(
                            run, BackendListener.End.failed(Outcome.NOT_RUN, "given_up", ""));
                }
                mRefusals.tellNotRun(connection, id, recorded.reason());
            }
            case RefuseResult.AlreadyStarted ignored -> resume(connection, id, 1, mRuns.get(id));
            case RefuseResult.Unrecorded ignored -> mRefusals.tellUnknown(connection, id);
        }
    }

    void onCredit(Credit credit) {
        var run = mRuns.get(Frames.idOf(credit.getKey()));
        if (run == null) {
            return;
        }
        if (credit.getTakenChunk() > 0 && !run.isEnded()) {
            mBuffer.acknowledge(run.id(), credit.getTakenChunk());
        }
        run.grant(credit.getBytes());
        if (!run.isEnded() && run.isStarted() && !mBuffer.isFull(run.id())) {
            run.setReading(true);
        }
    }

    void onResume(FrameConnection connection, Resume resume) {
        var id = Frames.idOf(resume.getKey());
        var run = mRuns.get(id);
        boolean isOwn = run != null && run.team().equals(TeamId.of(resume.getTeam()));
        mCounters.onResume(isOwn);
        resume(connection, id, resume.getFromChunk(), isOwn ? run : null);
    }

    /** Says that the agent leaves: refuses new work from now on and tells the routers. */
    void leave(String why) {
        if (!mGuard.leave(why)) {
            return;
        }
        var frame = AgentFrames.leaving(mIdentity.incarnation(), why);
        mConnections.forEach(connection -> connection.send(frame));
        if (mHandover != null) {
            mHandover.begin(mHandoverSeconds);
        }
    }

    /** Takes the hello that tells whether the engine serves, and tells the routers. */
    void onServing(Hello hello) {
        var frame = Frame.newBuilder().setHello(hello).build();
        mGuard.onServesNothing(hello.getServesNothing() ? Optional.of(frame) : Optional.empty());
        mConnections.forEach(connection -> connection.send(frame));
    }

    boolean isLeaving() {
        return mGuard.isLeaving();
    }

    /** Returns the attempts that wait or run. */
    int active() {
        return mActive;
    }

    void onHealth(boolean up) {
        mGuard.onHealth(up);
    }

    /** Drops what is over: waiting work past its deadline, answers past their time. */
    void sweep() {
        long now = now();
        poll();
        for (var id : mBuffer.expire(now)) {
            mCounters.onAbandoned();
            onCancel(id);
        }
        while (!mEnded.isEmpty() && now - mEnded.peekFirst().endedNanos() > KEEP_ANSWER.toNanos()) {
            mRuns.remove(mEnded.removeFirst().id());
        }
        mRegister.sweep(now);
    }

    Load load() {
        var report = mQueue.load();
        return Load.newBuilder()
                .setOutstandingTokens(report.outstandingTokens())
                .setMeanTokens(report.meanTokens())
                .setTokensPerSecond((int) report.tokensPerSecond())
                .setRunning(mQueue.running())
                .setQueued(mQueue.queued())
                .build();
    }

    private void admit(FrameConnection connection, AttemptId id, Submit submit, long deadline) {
        var span = mTelemetry.startSpan("agent.run", SpanKind.SERVER, submit.getTraceparent());
        var run = Run.of(id, submit, span, deadline, connection);
        switch (mQueue.offer(run.offer(), now())) {
            case AdmissionDecision.Admitted ignored -> {
                track(run);
                mLifecycle.start(run);
            }
            case AdmissionDecision.Queued ignored -> {
                track(run);
                mRegister.enqueue(id);
            }
            case AdmissionDecision.Refused refused -> {
                span.end();
                mRegister.refuse(id, RefusalReason.OVERLOADED, deadline, now());
                mRefusals.tellNotRun(connection, id, refused);
            }
        }
        poll();
    }

    private void track(Run run) {
        mRuns.put(run.id(), run);
        mActive++;
    }

    /** Starts what the queue lets start and answers what it gave up. */
    private void poll() {
        var step = mQueue.poll(now());
        for (var offer : step.started()) {
            mLifecycle.start(mRuns.get(offer.id()));
        }
        for (var givenUp : step.dropped()) {
            giveUp(mRuns.get(givenUp.offer().id()), givenUp);
        }
    }

    private void giveUp(Run run, PollResult.Dropped givenUp) {
        mRegister.refuse(run.id(), RefusalReason.OVERLOADED, run.deadlineNanos(), now());
        var end =
                BackendListener.End.failed(
                        Outcome.NOT_RUN,
                        lower(givenUp.reason()),
                        "given up in the queue of " + mIdentity.node());
        mLifecycle.close(run, end, givenUp.retryAfterMillis());
    }

    /** Cancels attempts that became suspect elsewhere, unless they may not be repeated. */
    void cancelSuspects(List<AttemptId> attempts) {
        for (var id : attempts) {
            var run = mRuns.get(id);
            if (run != null && !run.isEnded() && run.permit() == null) {
                run.cancelBackend();
                mLifecycle.end(
                        run, BackendListener.End.failed(Outcome.FAILED_AFTER_RUN, "cancelled", ""));
            }
        }
    }

    private void dropSuperseded(AttemptId id) {
        var run = mRuns.get(id);
        if (run != null) {
            mLifecycle.end(run, BackendListener.End.failed(Outcome.NOT_RUN, "superseded", ""));
        }
    }

    private void resume(FrameConnection connection, AttemptId id, int fromChunk, Run run) {
        var replay =
                run == null
                        ? new Replay.NotFound()
                        : mBuffer.resume(id, run.team(), Math.max(1, fromChunk));
        switch (replay) {
            case Replay.Available from ->
                    run.attach(connection, from.chunks(), run.submit().getCreditBytes());
            case Replay.Trimmed ignored -> mRefusals.tellUnknown(connection, id);
            case Replay.NotFound ignored -> mRefusals.tellUnknown(connection, id);
        }
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private long now() {
        return mClock.monotonicTime();
    }

    /** What the ends of runs mean here: they are kept for a while, and others start. */
    private final class Ends implements RunLifecycle.Listener {
        @Override
        public void onClosed(Run run) {
            mActive--;
            mEnded.addLast(run);
        }

        @Override
        public void onPlaceFree() {
            poll();
        }

        @Override
        public void onBackendDown() {
            onHealth(false);
        }
    }
}
