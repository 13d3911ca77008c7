package org.fescueport.internal.direct.place;

import java.time.Duration;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;

/**
 * States that a replica crashed with a request that has a prompt part.
 *
 * @param part hash of the {@link PromptPartId}
 * @param evidence what the crash shows
 */
public record PartStrike(ContentHash part, AgentIncarnation replica, Evidence evidence) {
    /** What a crash shows of a prompt part that was in progress. */
    public sealed interface Evidence {
        /** The replica crashed before it had written any of the answer's body. */
        record Unanswered() implements Evidence {}

        /**
         * The replica crashed behind the beginning of the answer, as it does to all answers that it
         * is writing at the time.
         *
         * @param age time since the crash
         */
        record InAnswer(Duration age) implements Evidence {}

        /**
         * The replica crashed before it had written any of the answer's body, and the part belongs
         * to a session, whose few requests seldom clear it.
         *
         * @param age time since the crash
         */
        record OfSession(Duration age) implements Evidence {}

        /** A request with the part has been answered since, so the crash had another cause. */
        record Cleared() implements Evidence {}
    }

    private static final Evidence UNANSWERED = new Evidence.Unanswered();
    private static final Evidence CLEARED = new Evidence.Cleared();

    /** Returns a strike for a crash before the answer's body. */
    public static PartStrike of(ContentHash part, AgentIncarnation replica) {
        return new PartStrike(part, replica, UNANSWERED);
    }

    /** Returns a strike for a crash inside the answer's body. */
    public static PartStrike inAnswer(ContentHash part, AgentIncarnation replica, Duration age) {
        return new PartStrike(part, replica, new Evidence.InAnswer(age));
    }

    /** Returns a strike against the part of a session. */
    public static PartStrike ofSession(ContentHash part, AgentIncarnation replica, Duration age) {
        return new PartStrike(part, replica, new Evidence.OfSession(age));
    }

    /** Returns that this strike does not count. */
    public PartStrike asCleared() {
        return new PartStrike(part, replica, CLEARED);
    }

    /** Returns whether the strike does not count. */
    public boolean cleared() {
        return evidence instanceof Evidence.Cleared;
    }
}
