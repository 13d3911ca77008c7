package org.fescueport.internal.decision.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fescueport.internal.decision.FailureDomain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RelayTreeTest {
    private record Node(int rank, FailureDomain domain) {}

    /** Returns nodes in the order of their starts, spread randomly over the domains. */
    private static List<Node> fleet(int nodes, int domains, int seed) {
        List<FailureDomain> places = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            places.add(FailureDomain.of("domain-" + i % domains));
        }
        Collections.shuffle(places, new Random(seed));
        List<Node> fleet = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            fleet.add(new Node(i, places.get(i)));
        }
        return fleet;
    }

    private static List<Node> sources(List<Node> fleet, int rank) {
        return RelayTree.sources(fleet.subList(0, rank), Node::domain, fleet.get(rank).domain());
    }

    /** Returns the node that each node relies on while some nodes do not answer. */
    private static Map<Node, Node> parents(List<Node> fleet, Set<Node> lost) {
        Map<Node, Node> parents = new HashMap<>();
        for (var node : fleet) {
            if (!lost.contains(node)) {
                sources(fleet, node.rank()).stream()
                        .filter(source -> !lost.contains(source))
                        .findFirst()
                        .ifPresent(source -> parents.put(node, source));
            }
        }
        return parents;
    }

    private static int relays(Map<Node, Node> parents, Node node) {
        int relays = 0;
        for (Node next = parents.get(node); next != null; next = parents.get(next)) {
            relays++;
        }
        return relays;
    }

    @Test
    void shouldHaveNoSourceForTheFirstNode() {
        assertThat(sources(fleet(3, 3, 1), 0), is(empty()));
    }

    @ParameterizedTest
    @CsvSource({
        "2, 1, 1, 1",
        "5, 3, 1, 2",
        "26, 3, 2, 3",
        "33, 3, 3, 3",
        "330, 6, 4, 4",
        "330, 3, 5, 4",
        "1000, 6, 6, 4",
        "1000, 3, 7, 5"
    })
    void shouldBoundWhatEachNodeSendsAndHowFarAChangeGoes(
            int nodes, int domains, int seed, int maxRelays) {
        var fleet = fleet(nodes, domains, seed);
        Map<Node, Node> parents = parents(fleet, Set.of());
        assertThat(parents.size(), is(nodes - 1));
        Map<Node, Integer> children = new HashMap<>();
        parents.values().forEach(parent -> children.merge(parent, 1, Integer::sum));
        for (var node : fleet) {
            int most = RelayTree.FAN_OUT + (node.rank() == 0 ? domains - 1 : 0);
            assertThat(children.getOrDefault(node, 0), is(lessThanOrEqualTo(most)));
            assertThat(relays(parents, node), is(lessThanOrEqualTo(maxRelays)));
        }
    }

    @ParameterizedTest
    @CsvSource({"5, 3, 1", "33, 3, 2", "330, 6, 3", "1000, 3, 4"})
    void shouldCrossToEachOtherDomainOnce(int nodes, int domains, int seed) {
        var parents = parents(fleet(nodes, domains, seed), Set.of());
        long crossings =
                parents.entrySet().stream()
                        .filter(e -> !e.getKey().domain().equals(e.getValue().domain()))
                        .count();
        assertThat(crossings, is(domains - 1L));
    }

    @ParameterizedTest
    @CsvSource({"26, 3, 0.5", "330, 6, 0.3", "330, 3, 0.9", "1000, 6, 0.5"})
    void shouldGiveEveryNodeASourceWhenOthersAreLost(int nodes, int domains, double share) {
        for (int seed = 1; seed <= 20; seed++) {
            var fleet = fleet(nodes, domains, seed);
            var random = new Random(seed);
            Set<Node> lost = new HashSet<>();
            fleet.stream().filter(node -> random.nextDouble() < share).forEach(lost::add);
            lost.add(fleet.getFirst());
            Map<Node, Node> parents = parents(fleet, lost);
            // All but the first one that is left, which reads the store.
            assertThat(parents.size(), is(Math.max(0, nodes - lost.size() - 1)));
            parents.forEach(
                    (node, parent) ->
                            assertThat(parent.rank(), is(lessThanOrEqualTo(node.rank() - 1))));
        }
    }

    @Test
    void shouldOfferAllEarlierNodes() {
        var fleet = fleet(50, 3, 9);
        var expected = fleet.subList(0, 49).toArray(new Node[0]);
        assertThat(sources(fleet, 49), containsInAnyOrder(expected));
    }
}
