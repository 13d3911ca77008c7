package org.fescueport.internal.agent;

/** What a caller is told whose key was refused: why, and what to do. */
final class KeyTexts {
    private KeyTexts() {}

    static String of(KeyedRuns.Verdict.Refused refused) {
        return switch (refused.reason()) {
            case NOT_UUID_V7 -> "the Idempotency-Key is neither a UUIDv7 nor a key we issued";
            case TOO_OLD -> "the Idempotency-Key is older than its window: make a new one";
            case FROM_THE_FUTURE ->
                    "the Idempotency-Key's time lies in the future: check your clock";
            case OTHER_TEAM -> "the Idempotency-Key was used by another team: make a new one";
            case OTHER_CONTENT ->
                    "the Idempotency-Key was used for another call: make a new one for each call";
            case LOG_UNAVAILABLE, LOG_SLOW ->
                    "claims cannot be recorded now; come back later, or ask for a key with POST to"
                            + " /v1/services/{service}/{operation}/keys, which needs no record";
            case TRY_AGAIN -> "the claim was not settled: send the call again with the same key";
            case OVERLOADED -> "too many claims wait: come back later";
            case DEADLINE_PASSED -> "the deadline passed before the call was run";
            case OTHER_OWNER -> "the key belongs to an agent that no longer knows it";
        };
    }
}
