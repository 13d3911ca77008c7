package org.fescueport.internal.agent;

import java.util.concurrent.Executor;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.attempt.RefusalReason;
import org.fescueport.internal.decision.claim.StoredAnswer;

/** Starts runs that may not be repeated, once their key is granted; on the agent's loop. */
final class KeyedStart {
    private final RunLifecycle mLifecycle;
    private final KeyedRuns mKeyed;
    private final Executor mLoop;

    private KeyedStart(RunLifecycle lifecycle, KeyedRuns keyed, Executor loop) {
        mLifecycle = lifecycle;
        mKeyed = keyed;
        mLoop = loop;
    }

    static KeyedStart of(RunLifecycle lifecycle, KeyedRuns keyed, Executor loop) {
        return new KeyedStart(lifecycle, keyed, loop);
    }

    /** Asks for the key and goes on when the verdict is there. */
    void begin(Run run) {
        mKeyed.begin(run.submit(), run.fingerprint().content(), run.deadlineNanos())
                .thenAccept(verdict -> mLoop.execute(() -> onVerdict(run, verdict)));
    }

    private void onVerdict(Run run, KeyedRuns.Verdict verdict) {
        switch (verdict) {
            case KeyedRuns.Verdict.Run granted -> start(run, granted.permit());
            case KeyedRuns.Verdict.Done done -> repeatAnswer(run, done.answer());
            case KeyedRuns.Verdict.Unknown unknown -> {
                mLifecycle.refuseBeforeStart(run, RefusalReason.CLAIM_REFUSED);
                end(run, Outcome.UNKNOWN, "begun_before", unknown.detail(), 0);
            }
            case KeyedRuns.Verdict.Refused refused -> {
                mLifecycle.refuseBeforeStart(run, RefusalReason.CLAIM_REFUSED);
                var name = KeyedRuns.nameOf(refused.reason());
                var text = KeyTexts.of(refused);
                end(run, Outcome.NOT_RUN, name, text, refused.retryAfterMillis());
            }
        }
    }

    private void start(Run run, KeyedRuns.Permit permit) {
        if (!mLifecycle.passGate(run)) {
            mKeyed.giveBack(permit);
            return;
        }
        if (!mKeyed.start(permit)) {
            end(run, Outcome.NOT_RUN, "deadline_passed", "its claim came too late", 0);
            return;
        }
        run.setPermit(permit);
        mLifecycle.call(run);
    }

    private void repeatAnswer(Run run, StoredAnswer answer) {
        if (!mLifecycle.passGate(run)) {
            return;
        }
        if (answer.bodyKept()) {
            mLifecycle.repeat(run, answer);
            return;
        }
        var text = "it was run before; its answer was too long to be kept";
        end(run, Outcome.FAILED_AFTER_RUN, "answer_not_kept", text, 0);
    }

    private void end(Run run, Outcome outcome, String reason, String text, long retryAfterMillis) {
        mLifecycle.end(run, BackendListener.End.failed(outcome, reason, text), retryAfterMillis);
    }
}
