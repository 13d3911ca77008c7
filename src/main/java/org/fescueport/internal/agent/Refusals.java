package org.fescueport.internal.agent;

import java.util.Locale;
import java.util.function.Supplier;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.attempt.RefusalReason;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.generated.Load;

/** Tells routers of attempts that an agent does not follow; a refusal is recorded before it. */
final class Refusals {
    private static final long RETRY_MILLIS = 500;

    private final String mNode;
    private final AgentCounters mCounters;
    private final Supplier<Load> mLoad;

    private Refusals(String node, AgentCounters counters, Supplier<Load> load) {
        mNode = node;
        mCounters = counters;
        mLoad = load;
    }

    static Refusals of(String node, AgentCounters counters, Supplier<Load> load) {
        return new Refusals(node, counters, load);
    }

    void tellNotRun(FrameConnection connection, AttemptId id, RefusalReason reason) {
        tellNotRun(connection, id, lower(reason), RETRY_MILLIS);
    }

    void tellNotRun(FrameConnection connection, AttemptId id, AdmissionDecision.Refused refused) {
        tellNotRun(connection, id, lower(refused.reason()), refused.retryAfterMillis());
    }

    void tellUnknown(FrameConnection connection, AttemptId id) {
        var text = "no answer of it is kept here";
        tell(connection, id, BackendListener.End.failed(Outcome.UNKNOWN, "not_kept", text), 0);
    }

    private void tellNotRun(
            FrameConnection connection, AttemptId id, String reason, long retryAfterMillis) {
        var end = BackendListener.End.failed(Outcome.NOT_RUN, reason, "refused by " + mNode);
        tell(connection, id, end, retryAfterMillis);
    }

    private void tell(
            FrameConnection connection,
            AttemptId id,
            BackendListener.End end,
            long retryAfterMillis) {
        mCounters.onOutcome(end.outcome(), end.reason());
        connection.send(AgentFrames.outcome(id, end, retryAfterMillis, mLoad.get()));
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
