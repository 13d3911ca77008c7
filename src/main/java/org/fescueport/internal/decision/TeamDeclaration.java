package org.fescueport.internal.decision;

import java.util.Set;

/**
 * A team.
 *
 * @param weight its share beside the other teams' weights when there is not enough for all
 * @param keyHashes SHA-256 of its API keys, as lower-case hex
 * @param targets models and services that it may call; empty for all
 */
public record TeamDeclaration(
        TeamId id, double weight, Set<String> keyHashes, Set<String> targets) {
    public TeamDeclaration {
        keyHashes = Set.copyOf(keyHashes);
        targets = Set.copyOf(targets);
    }

    /** Returns whether the team may call this model or service. */
    public boolean mayCall(String target) {
        return targets.isEmpty() || targets.contains(target);
    }
}
