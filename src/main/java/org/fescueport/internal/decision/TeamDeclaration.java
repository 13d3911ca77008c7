package org.fescueport.internal.decision;

import java.util.Set;

/**
 * Declaration of a team.
 *
 * @param weight share of the team, relative to the weights of other teams, when capacity is scarce
 * @param keyHashes SHA-256 hashes of the API keys of the team, in lower-case hex
 * @param targets models and services that the team may call; if empty, it may call all of them
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
