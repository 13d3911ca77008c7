package org.fescueport.internal.decision.reconcile;

import java.util.List;

/**
 * What to do now.
 *
 * @param orders loads to start
 * @param blocked models that can't become as declared, and why
 */
public record Plan(List<LoadOrder> orders, List<String> blocked) {
    public Plan {
        orders = List.copyOf(orders);
        blocked = List.copyOf(blocked);
    }
}
