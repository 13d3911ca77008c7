package org.fescueport.internal.decision.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fescueport.internal.decision.NodeId;

/**
 * The replicas that refused a request because of their load, each with the load that it reported;
 * immutable.
 *
 * <p>Several refusals are evidence that the pool's mean load has risen. The least loaded of the
 * refusing replicas is then tried again. The retry carries the load reported by the second least
 * loaded one, so that the replica accepts the request even if its load is above its own estimate of
 * the mean.
 *
 * @param all the refusals, from the lowest to the highest load
 */
public record Refusals(List<Refusal> all) {
    /**
     * The refusal of one replica.
     *
     * @param loadTokens load that the replica reported
     * @param retryAfterMillis time after which the replica expects to have capacity
     */
    public record Refusal(NodeId node, long loadTokens, long retryAfterMillis) {}

    private static final Refusals NONE = new Refusals(List.of());

    public Refusals {
        all = List.copyOf(all);
    }

    /** Returns an empty list of refusals. */
    public static Refusals none() {
        return NONE;
    }

    /** Returns these refusals and one more. */
    public Refusals with(NodeId node, long loadTokens, long retryAfterMillis) {
        var more = new ArrayList<>(all);
        more.add(new Refusal(node, loadTokens, retryAfterMillis));
        more.sort(Comparator.comparingLong(Refusal::loadTokens));
        return new Refusals(more);
    }

    int count() {
        return all.size();
    }

    /** Returns the refusal with the lowest load. */
    Refusal lowest() {
        return all.getFirst();
    }

    /** Returns the second lowest load, next to {@link #lowest()}. */
    long secondLowestTokens() {
        return all.get(1).loadTokens();
    }

    long retryAfterMillis() {
        return all.stream().mapToLong(Refusal::retryAfterMillis).min().orElse(0);
    }
}
