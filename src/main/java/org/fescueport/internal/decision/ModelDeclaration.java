package org.fescueport.internal.decision;

import java.util.Map;

/**
 * A model that callers may name.
 *
 * @param pool the backend servers that serve it
 * @param loadBound no replica's outstanding work goes above this multiple of the mean
 * @param workKinds kinds of work by name
 * @param defaultWork the kind of a request that names none
 * @param checksFencing whether the engines refuse an order with an older fencing token
 * @param replicas replicas that are wanted
 * @param artifact name of the weights in the weight store
 */
public record ModelDeclaration(
        String name,
        PoolId pool,
        double loadBound,
        Map<String, WorkKind> workKinds,
        String defaultWork,
        boolean checksFencing,
        int replicas,
        String artifact) {
    public ModelDeclaration {
        workKinds = Map.copyOf(workKinds);
    }

    /** Returns the named kind of work, or the default one when {@code name} is empty or unknown. */
    public WorkKind workOf(String name) {
        return workKinds.getOrDefault(name, workKinds.get(defaultWork));
    }
}
