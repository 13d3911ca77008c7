package org.fescueport.internal.decision;

import java.util.Map;

/**
 * Declaration of the key that signs the tokens that callers send back, and of the former keys that
 * are still accepted. The secret keys are stored in files on the nodes, never in a declaration.
 *
 * @param signs id of the key that signs new tokens
 * @param acceptedUntilMillis wall time in milliseconds, by key id, until which a former key is
 *     accepted
 */
public record TokenKeyDeclaration(int signs, Map<Integer, Long> acceptedUntilMillis) {
    /** The maximum key id. */
    public static final int MAX_ID = 255;

    public TokenKeyDeclaration {
        acceptedUntilMillis = Map.copyOf(acceptedUntilMillis);
    }
}
