package org.fescueport.internal.decision.poison;

import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * A fact about a request that may crash backend servers.
 *
 * @param server incarnation of the backend server that the record refers to
 * @param atMillis wall time in milliseconds: of the strike for {@link Kind#STRIKE}, else of the
 *     trial, which it identifies together with {@code server}
 */
public record PoisonRecord(
        Kind kind, Fingerprint fingerprint, AgentIncarnation server, long atMillis) {
    /** Kind of a record. */
    public enum Kind {
        /** The backend server crashed while the request was in flight on it. */
        STRIKE,
        /**
         * The backend server requests to run the request without other requests. If several servers
         * do, the first one in log order wins.
         */
        TRIAL,
        /** The trial ended and the backend server did not crash. */
        CLEARED,
        /** The trial will never begin, or it was cancelled. It shows nothing about the request. */
        RELEASED
    }
}
