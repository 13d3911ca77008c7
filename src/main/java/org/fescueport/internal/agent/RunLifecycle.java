package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.admission.AdmissionQueue;
import org.fescueport.internal.decision.admission.ThroughputEstimate;
import org.fescueport.internal.decision.answer.AnswerBuffer;
import org.fescueport.internal.decision.attempt.AttemptRegister;
import org.fescueport.internal.decision.attempt.RefusalReason;
import org.fescueport.internal.decision.claim.StoredAnswer;
import org.fescueport.internal.log.poison.PoisonGuard;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.generated.Load;

/**
 * Takes runs from the queue through their gates to the backend server, and to their end.
 *
 * <p>Used on the agent's loop alone.
 */
final class RunLifecycle {
    private static final String BACKEND_LOST = "backend_lost";

    /** What a lifecycle works with; all of it belongs to one agent. */
    record Parts(
            Backend backend,
            AttemptRegister register,
            AnswerBuffer buffer,
            AdmissionQueue queue,
            ThroughputEstimate speeds,
            AgentCounters counters,
            Supplier<Load> load,
            Executor loop,
            Clock clock) {}

    /** Told what the ends of runs mean for the agent. */
    interface Listener {
        /** The run has its final outcome. */
        void onClosed(Run run);

        /** A place is free. */
        void onPlaceFree();

        /** The backend server does not answer its health check. */
        void onBackendDown();
    }

    private final Parts mParts;
    private final Listener mListener;
    private final AttemptRegister mRegister;
    private final AnswerBuffer mBuffer;
    private final AgentCounters mCounters;
    private final RunProgress.Shared mShared;
    private KeyedRuns mKeyed;
    private KeyedStart mKeyedStart;
    private PoisonGate mPoison;
    private CacheImport mImport;
    private CacheHandover mHandover;

    private RunLifecycle(Parts parts, Listener listener) {
        mParts = parts;
        mListener = listener;
        mRegister = parts.register();
        mBuffer = parts.buffer();
        mCounters = parts.counters();
        mShared =
                new RunProgress.Shared(
                        parts.queue(),
                        parts.speeds(),
                        parts.buffer(),
                        parts.counters(),
                        parts.load(),
                        parts.clock(),
                        this::onBackendEnd);
    }

    static RunLifecycle of(Parts parts, Listener listener) {
        return new RunLifecycle(parts, listener);
    }

    /** Sets what grants runs that may not be repeated, and what keeps poison away. */
    void use(KeyedRuns keyed, PoisonGuard guard) {
        mPoison = PoisonGate.of(guard, mParts.loop(), new AdmittedRuns(), mParts.clock());
        mKeyed = keyed;
        mKeyedStart = KeyedStart.of(this, keyed, mParts.loop());
    }

    /** Sets what brings caches from other agents; without it none is brought. */
    void use(CacheImport cacheImport) {
        mImport = cacheImport;
    }

    /** Sets what hands caches over on a planned leave. */
    void use(CacheHandover handover) {
        mHandover = handover;
    }

    /** Takes a run that the queue lets start to its first gate. */
    void start(Run run) {
        mPoison.admit(run);
    }

    private void startAdmitted(Run run) {
        if (run.submit().getNotRepeatable()) {
            mKeyedStart.begin(run);
        } else if (passGate(run)) {
            call(run);
        }
    }

    /** Answers a run with what its key gave the first time. */
    void repeat(Run run, StoredAnswer answer) {
        mCounters.onRepeatedKey();
        run.add(mBuffer.append(run.id(), answer.body()));
        var usage = BackendListener.Usage.NONE;
        end(
                run,
                new BackendListener.End(
                        Outcome.COMPLETED,
                        "repeated_key",
                        "",
                        answer.status(),
                        answer.contentType(),
                        "",
                        usage),
                0);
    }

    /** Records that a run which has not started never will. */
    void refuseBeforeStart(Run run, RefusalReason reason) {
        if (!run.isEnded()) {
            mRegister.refuse(run.id(), reason, run.deadlineNanos(), now());
        }
    }

    /** The gate to the backend server: records the start, or ends the run. */
    boolean passGate(Run run) {
        if (run.isEnded()) {
            return false;
        }
        if (!mBuffer.open(run.id(), run.team(), Math.max(1, run.submit().getFirstChunk()))) {
            refuseBeforeStart(run, RefusalReason.ANSWERS_FULL);
            end(run, BackendListener.End.failed(Outcome.NOT_RUN, "answers_full", ""));
            return false;
        }
        if (!mRegister.start(run.id(), now())) {
            mBuffer.discard(run.id());
            end(
                    run,
                    BackendListener.End.failed(
                            Outcome.NOT_RUN, "deadline_passed", "it waited past its deadline"));
            return false;
        }
        if (!mPoison.start(run)) {
            mRegister.finish(run.id(), now());
            end(run, BackendListener.End.failed(Outcome.NOT_RUN, "suspect", ""));
            return false;
        }
        run.markStarted(now());
        return true;
    }

    /** Hands a run that has passed the gate to the backend server. */
    void call(Run run) {
        if (mImport == null) {
            callBackend(run);
        } else {
            mImport.before(run, () -> callBackend(run));
        }
    }

    private void callBackend(Run run) {
        if (run.isEnded()) {
            return;
        }
        mCounters.onStart();
        var traceparent = Telemetry.traceparentOf(run.span());
        var listener = LoopedListener.of(mParts.loop(), RunProgress.of(run, mShared));
        run.setHandle(BackendCall.start(mParts.backend(), run.submit(), traceparent, listener));
    }

    /** Ends a run with its final outcome; says nothing of when to come back. */
    void end(Run run, BackendListener.End end) {
        end(run, end, 0);
    }

    /** Ends a run with its final outcome, and lets others start in its place. */
    void end(Run run, BackendListener.End end, long retryAfterMillis) {
        close(run, end, retryAfterMillis);
        mListener.onPlaceFree();
    }

    /** The same, without letting others start. */
    void close(Run run, BackendListener.End end, long retryAfterMillis) {
        if (run.isEnded()) {
            return;
        }
        long now = now();
        if (run.isStarted()) {
            mRegister.finish(run.id(), now);
            mBuffer.end(run.id(), now);
            keepAnswer(run, end);
            if (mHandover != null && end.outcome() == Outcome.COMPLETED) {
                mHandover.onCompleted(run, end.usage().promptTokens());
            }
            mPoison.onEnd(run, "cancelled".equals(end.reason()));
        }
        if (!mParts.queue().cancel(run.id())) {
            mParts.queue().onFinished(run.id());
        }
        var outcome =
                AgentFrames.outcome(
                        run.id(), end, retryAfterMillis, mParts.load().get(), run.strikes());
        run.end(outcome, now);
        mListener.onClosed(run);
        mCounters.onOutcome(end.outcome(), end.reason());
        run.span().setAttribute("fescue.outcome", end.outcome().name().toLowerCase(Locale.ROOT));
        run.span().end();
        mPoison.onClosed(run);
    }

    private void keepAnswer(Run run, BackendListener.End end) {
        if (run.permit() == null) {
            return;
        }
        boolean isWhole = end.outcome() == Outcome.COMPLETED;
        mKeyed.finish(
                run.permit(),
                isWhole
                        ? Optional.of(KeyedRuns.answerOf(end, run.firstPiece()))
                        : Optional.empty());
    }

    private void onBackendEnd(Run run, BackendListener.End end) {
        if (BACKEND_LOST.equals(end.reason())) {
            endAfterHealthCheck(run, end);
        } else {
            end(run, end);
        }
    }

    /** Tells a lost connection from a dead backend server, before the router hears of either. */
    private void endAfterHealthCheck(Run run, BackendListener.End end) {
        mParts.backend()
                .checkHealth()
                .whenComplete(
                        (ok, failure) ->
                                mParts.loop()
                                        .execute(
                                                () -> {
                                                    if (failure != null) {
                                                        mListener.onBackendDown();
                                                        mCounters.onBackendDeath();
                                                        run.setStrikes(mPoison.onBackendDied(run));
                                                    }
                                                    end(run, end);
                                                }));
    }

    private long now() {
        return mParts.clock().monotonicTime();
    }

    /** Goes on with, or ends, what the gate against poison has decided on. */
    private final class AdmittedRuns implements PoisonGate.Runs {
        @Override
        public void proceed(Run run) {
            startAdmitted(run);
        }

        @Override
        public void end(Run run, BackendListener.End end, long retryAfterMillis) {
            refuseBeforeStart(run, RefusalReason.POISON);
            RunLifecycle.this.end(run, end, retryAfterMillis);
        }
    }
}
