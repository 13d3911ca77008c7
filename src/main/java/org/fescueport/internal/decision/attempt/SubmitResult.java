package org.fescueport.internal.decision.attempt;

import java.util.List;
import org.fescueport.internal.decision.AttemptId;

/** What an agent does with a submitted attempt. */
public sealed interface SubmitResult {
    /**
     * The attempt is new here; admission decides next.
     *
     * @param superseded older attempts that waited here and were refused for this one
     */
    record Accepted(List<AttemptId> superseded) implements SubmitResult {}

    /** The frame is a duplicate of a registered attempt and has no effect. */
    record Duplicate(AttemptState state) implements SubmitResult {}

    /** The refusal is recorded: this incarnation will never run the attempt. */
    record Refused(RefusalReason reason) implements SubmitResult {}

    /**
     * The register is full, so the refusal is not recorded. The attempt does not run now, but a
     * duplicate frame could be accepted later. The outcome reported to the router must therefore be
     * {@code UNKNOWN}, not {@code NOT_RUN}.
     */
    record Unrecorded() implements SubmitResult {}
}
