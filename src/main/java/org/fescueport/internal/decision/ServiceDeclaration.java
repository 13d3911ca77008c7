package org.fescueport.internal.decision;

import java.util.Map;

/**
 * A plain service that callers may name.
 *
 * @param pool the backend servers that serve it
 * @param loadBound no replica's outstanding work goes above this multiple of the mean
 * @param operations operations by name; others are refused
 * @param checksFencing whether its backend servers refuse an older fencing token
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
