package org.fescueport.internal.agent;

import org.fescueport.internal.decision.Outcome;

/** Receives what a backend server makes of one attempt, whatever its kind; on I/O threads. */
interface BackendListener {
    /** Usage of an answer in tokens; zero for a plain service. */
    record Usage(int promptTokens, int cachedTokens, int completionTokens) {
        static final Usage NONE = new Usage(0, 0, 0);
    }

    /** How an attempt ended at the backend server. */
    record End(
            Outcome outcome,
            String reason,
            String detail,
            int status,
            String contentType,
            String finishReason,
            Usage usage) {
        static End failed(Outcome outcome, String reason, String detail) {
            return new End(outcome, reason, detail, 0, "", "", Usage.NONE);
        }
    }

    /** The backend server began. */
    void onStarted(int cachedTokens);

    /** The next piece of the answer. */
    void onPiece(byte[] piece, int tokens);

    /** Nothing more follows. */
    void onEnd(End end);
}
