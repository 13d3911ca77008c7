package org.fescueport.internal.decision;

import java.util.Map;

/**
 * Declaration of a model that callers may request.
 *
 * @param pool the backend servers that serve the model
 * @param loadBound maximum outstanding work of a replica, as a multiple of the mean of its pool
 * @param workKinds the kinds of work by name
 * @param defaultWork name of the kind of work of a request that does not specify one
 * @param checksFencing whether the engines themselves refuse an order with an older fencing token
 * @param replicas desired number of replicas
 * @param artifact name of the model weights in the weight store
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
