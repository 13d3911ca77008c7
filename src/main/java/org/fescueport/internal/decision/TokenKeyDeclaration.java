package org.fescueport.internal.decision;

import java.util.Map;

/**
 * Which key signs what callers bring back, and which former ones are still accepted. The secrets
 * are in files of the nodes and never in a declaration.
 *
 * @param signs id of the key that signs
 * @param acceptedUntilMillis wall time, by id, until which former keys are accepted
 */
public record TokenKeyDeclaration(int signs, Map<Integer, Long> acceptedUntilMillis) {
    /** The greatest id. */
    public static final int MAX_ID = 255;

    public TokenKeyDeclaration {
        acceptedUntilMillis = Map.copyOf(acceptedUntilMillis);
    }
}
