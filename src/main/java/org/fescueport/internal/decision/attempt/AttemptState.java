package org.fescueport.internal.decision.attempt;

/** State of an attempt at an agent. */
public enum AttemptState {
    /** The attempt has arrived; admission control has not decided on it yet. */
    RECEIVED,
    /** Admitted and queued; it has not run. */
    QUEUED,
    /** The attempt was handed to the backend server. */
    STARTED,
    /** The backend server no longer works on the attempt. */
    FINISHED,
    /** The attempt must never run. The entry is kept until no more of its frames can arrive. */
    REFUSED;

    /** Returns whether the attempt is guaranteed not to have run yet. */
    public boolean isBeforeStart() {
        return this == RECEIVED || this == QUEUED;
    }

    /** Returns whether the backend server may have run the attempt. */
    public boolean mayHaveRun() {
        return this == STARTED || this == FINISHED;
    }
}
