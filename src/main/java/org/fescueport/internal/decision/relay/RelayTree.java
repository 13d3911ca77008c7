package org.fescueport.internal.decision.relay;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.fescueport.internal.decision.FailureDomain;

/**
 * Decides which node each node of a fleet gets the records of the shared store from.
 *
 * <p>The first node reads the store. The others form a tree below it in the order of their starts:
 * the first node of each other failure domain gets its records from the first node of all, and
 * every further node from a node of its own domain. Each node therefore sends a change to a bounded
 * number of others however large the fleet is, and a change crosses to another domain once. The
 * delay to the last node grows with the logarithm of the fleet.
 *
 * <p>Designed for hundreds of nodes with slow links, all of which may start at once. A node relies
 * only on nodes that started before it, so no two nodes can rely on each other, whatever each of
 * them knows of the others.
 *
 * <pre>{@code
 * List<NodeEntry> sources = RelayTree.sources(earlierNodes, NodeEntry::domain, ownDomain);
 * }</pre>
 */
public final class RelayTree {
    /** Number of nodes of its own domain that a node sends records to. */
    static final int FAN_OUT = 6;

    private RelayTree() {}

    /**
     * Returns the nodes that a node may get its records from, in the order in which it should try
     * them: its parent in the tree, the parent's ancestors, and then all other earlier nodes, those
     * of its own domain first.
     *
     * @param earlier nodes that started before this one, in the order of their starts
     * @param domains returns the failure domain of a node; nodes whose domain is unknown share one
     * @param own failure domain of this node
     */
    public static <T> List<T> sources(
            List<T> earlier, Function<? super T, FailureDomain> domains, FailureDomain own) {
        List<T> sameDomain = new ArrayList<>();
        for (T node : earlier) {
            if (domains.apply(node).equals(own)) {
                sameDomain.add(node);
            }
        }
        Set<T> sources = new LinkedHashSet<>();
        int index = sameDomain.size();
        while (index > 0) {
            index = (index - 1) / FAN_OUT;
            sources.add(sameDomain.get(index));
        }
        if (!earlier.isEmpty()) {
            sources.add(earlier.getFirst());
        }
        sources.addAll(sameDomain);
        sources.addAll(earlier);
        return List.copyOf(sources);
    }
}
