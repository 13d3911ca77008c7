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

    /** The frame is a duplicate of an attempt that is followed already; it changes nothing. */
    record Duplicate(AttemptState state) implements SubmitResult {}

    /** The refusal is recorded: the attempt is surely never run by this incarnation. */
    record Refused(RefusalReason reason) implements SubmitResult {}

    /**
     * There is no memory left to record a refusal. The attempt isn't run now, but a duplicate frame
     * could be accepted later, so the router must be told "unknown", not "not run".
     */
    record Unrecorded() implements SubmitResult {}
}
