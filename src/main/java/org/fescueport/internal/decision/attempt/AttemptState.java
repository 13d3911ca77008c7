package org.fescueport.internal.decision.attempt;

/** Where an attempt stands at an agent. */
public enum AttemptState {
    /** Arrived; admission has not decided yet. */
    RECEIVED,
    /** Admitted and waiting; surely not run. */
    QUEUED,
    /** Handed to the backend server. */
    STARTED,
    /** The backend server's part is over. */
    FINISHED,
    /** Never to be run; this is kept until no frame of the attempt can arrive any more. */
    REFUSED;

    /** Returns whether the attempt has surely not run so far. */
    public boolean isBeforeStart() {
        return this == RECEIVED || this == QUEUED;
    }

    /** Returns whether the backend server may have run it. */
    public boolean mayHaveRun() {
        return this == STARTED || this == FINISHED;
    }
}
