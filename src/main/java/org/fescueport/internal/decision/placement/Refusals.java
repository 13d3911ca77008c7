package org.fescueport.internal.decision.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fescueport.internal.decision.NodeId;

/**
 * The replicas that refused one request for their load, with the load that each told; immutable.
 *
 * <p>They are evidence that the pool's mean has risen: when several refuse, the least loaded of
 * them is asked again with what the next one told, and takes the request though it is above its
 * estimate of the mean.
 */
public record Refusals(List<Refusal> all) {
    /** One replica's refusal. */
    public record Refusal(NodeId node, long loadTokens, long retryAfterMillis) {}

    private static final Refusals NONE = new Refusals(List.of());

    public Refusals {
        all = List.copyOf(all);
    }

    /** Returns no refusals. */
    public static Refusals none() {
        return NONE;
    }

    /** Returns these and one more. */
    public Refusals with(NodeId node, long loadTokens, long retryAfterMillis) {
        var more = new ArrayList<>(all);
        more.add(new Refusal(node, loadTokens, retryAfterMillis));
        more.sort(Comparator.comparingLong(Refusal::loadTokens));
        return new Refusals(more);
    }

    int count() {
        return all.size();
    }

    /** The least loaded. */
    Refusal lowest() {
        return all.getFirst();
    }

    /** Load of the least loaded one beside {@link #lowest()}. */
    long secondLowestTokens() {
        return all.get(1).loadTokens();
    }

    long retryAfterMillis() {
        return all.stream().mapToLong(Refusal::retryAfterMillis).min().orElse(0);
    }
}
