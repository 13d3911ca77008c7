package org.fescueport.internal.decision.reconcile;

import java.util.List;

/**
 * The actions to take now.
 *
 * @param orders the loads to start
 * @param blocked a message for each model that can't be brought to its declared state
 */
public record Plan(List<LoadOrder> orders, List<String> blocked) {
    public Plan {
        orders = List.copyOf(orders);
        blocked = List.copyOf(blocked);
    }
}
