package org.fescueport.internal.decision.poison;

import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * A fact about a request that may kill backend servers.
 *
 * @param server the life of the backend server that the record is about
 * @param atMillis time of the strike; of the trial for the other kinds, which names it
 */
public record PoisonRecord(
        Kind kind, Fingerprint fingerprint, AgentIncarnation server, long atMillis) {
    /** What the record says. */
    public enum Kind {
        /** The server died while the request was in flight on it. */
        STRIKE,
        /** The server is to run the request alone; only the order of the log decides which one. */
        TRIAL,
        /** The trial ended and the server lives. */
        CLEARED,
        /** The trial was not begun and never will be, or was cancelled: it has shown nothing. */
        RELEASED
    }
}
