package org.fescueport.internal.wire;

import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.wire.generated.AttemptKey;
import org.fescueport.internal.wire.generated.Cancel;
import org.fescueport.internal.wire.generated.Credit;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.OutcomeKind;
import org.fescueport.internal.wire.generated.Refuse;
import org.fescueport.internal.wire.generated.Resume;

/** Turns ids and outcomes into their form on the wire and back. */
public final class Frames {
    private Frames() {}

    /** Returns the wire form of an attempt's id. */
    public static AttemptKey keyOf(AttemptId id) {
        return AttemptKey.newBuilder()
                .setRequestHigh(id.request().high())
                .setRequestLow(id.request().low())
                .setAttempt(id.number())
                .build();
    }

    /** Returns the attempt's id. */
    public static AttemptId idOf(AttemptKey key) {
        return AttemptId.of(
                RequestId.of(key.getRequestHigh(), key.getRequestLow()), key.getAttempt());
    }

    /** Returns a frame that cancels an attempt. */
    public static Frame cancel(AttemptId id) {
        return Frame.newBuilder().setCancel(Cancel.newBuilder().setKey(keyOf(id))).build();
    }

    /** Returns a frame that asks for a recorded refusal of an attempt. */
    public static Frame refuse(AttemptId id) {
        return Frame.newBuilder().setRefuse(Refuse.newBuilder().setKey(keyOf(id))).build();
    }

    /** Returns a frame that grants bytes of an attempt's answer and acknowledges its chunks. */
    public static Frame credit(AttemptId id, int bytes, int takenChunk) {
        var credit =
                Credit.newBuilder().setKey(keyOf(id)).setBytes(bytes).setTakenChunk(takenChunk);
        return Frame.newBuilder().setCredit(credit).build();
    }

    /** Returns a frame that asks an agent to go on with a kept answer from this chunk. */
    public static Frame resume(AttemptId id, int fromChunk, TeamId team, int creditBytes) {
        var resume =
                Resume.newBuilder()
                        .setKey(keyOf(id))
                        .setFromChunk(fromChunk)
                        .setTeam(team.name())
                        .setCreditBytes(creditBytes);
        return Frame.newBuilder().setResume(resume).build();
    }

    /** Returns the wire form of an outcome. */
    public static OutcomeKind kindOf(org.fescueport.internal.decision.Outcome outcome) {
        return switch (outcome) {
            case COMPLETED -> OutcomeKind.COMPLETED;
            case NOT_RUN -> OutcomeKind.NOT_RUN;
            case FAILED_AFTER_RUN -> OutcomeKind.FAILED_AFTER_RUN;
            case UNKNOWN -> OutcomeKind.UNKNOWN;
        };
    }

    /** Returns the outcome; one that this version does not know is unknown. */
    public static org.fescueport.internal.decision.Outcome outcomeOf(OutcomeKind kind) {
        return switch (kind) {
            case COMPLETED -> org.fescueport.internal.decision.Outcome.COMPLETED;
            case NOT_RUN -> org.fescueport.internal.decision.Outcome.NOT_RUN;
            case FAILED_AFTER_RUN -> org.fescueport.internal.decision.Outcome.FAILED_AFTER_RUN;
            case UNKNOWN, UNRECOGNIZED -> org.fescueport.internal.decision.Outcome.UNKNOWN;
        };
    }
}
