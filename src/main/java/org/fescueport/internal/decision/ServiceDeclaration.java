package org.fescueport.internal.decision;

import java.util.Map;

/**
 * Declaration of a plain service that callers may request.
 *
 * @param pool the backend servers that run the service
 * @param loadBound maximum outstanding work of a replica, as a multiple of the mean of its pool
 * @param operations the operations by name; calls of other operations are refused
 * @param checksFencing whether the backend servers themselves refuse an older fencing token
 */
public record ServiceDeclaration(
        String name,
        PoolId pool,
        double loadBound,
        Map<String, OperationDeclaration> operations,
        boolean checksFencing) {
    public ServiceDeclaration {
        operations = Map.copyOf(operations);
    }
}
