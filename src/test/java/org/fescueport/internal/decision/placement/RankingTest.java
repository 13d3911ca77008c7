package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RankingTest {
    private static final TeamId TEAM = TeamId.of("presa-norte");

    private static Affinity chat(int number) {
        return Affinity.ofChat(TEAM, ChatId.of("chat" + number));
    }

    private static List<NodeId> ranks(ReplicaSet set, Affinity affinity) {
        var ranking = Ranking.of(set, affinity);
        var nodes = new ArrayList<NodeId>();
        for (int index = ranking.next(); index >= 0; index = ranking.next()) {
            nodes.add(set.replica(index).node());
        }
        return nodes;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 4, 5, 9, 100})
    void shouldReturnEachReplicaOnce(int size) {
        var ranks = ranks(Replicas.set(size), chat(1));
        assertThat(ranks.size(), is(size));
        assertThat(new HashSet<>(ranks).size(), is(size));
    }

    @Test
    void shouldKeepTheOrderOfTheOthersWhenOneLeaves() {
        var set = Replicas.set(40);
        for (int i = 0; i < 50; i++) {
            var before = ranks(set, chat(i));
            var gone = before.remove(i % before.size());
            assertThat(ranks(Replicas.without(set, gone), chat(i)), is(before));
        }
    }

    @Test
    void shouldNotDependOnTheOrderOfTheList() {
        var set = Replicas.set(30);
        var reversed = ReplicaSet.of(set.pool(), set.replicas().reversed());
        assertThat(ranks(reversed, chat(5)), is(ranks(set, chat(5))));
    }

    @Test
    void shouldDistributeChatsByWeight() {
        var replicas = List.of(Replicas.replica(0, 1), Replicas.replica(1, 2));
        var set = ReplicaSet.of(Replicas.POOL, replicas);
        int heavy = 0;
        for (int i = 0; i < 30_000; i++) {
            heavy += Ranking.of(set, chat(i)).next();
        }
        assertThat(heavy / 30_000.0, closeTo(2 / 3.0, 0.01));
    }

    @Test
    void shouldSpreadFirstAndSecondRanksEvenly() {
        int size = 20;
        int chats = 40_000;
        var set = Replicas.set(size);
        var pairs = new int[size * size];
        for (int i = 0; i < chats; i++) {
            var ranking = Ranking.of(set, chat(i));
            pairs[ranking.next() * size + ranking.next()]++;
        }
        double expected = chats / (double) (size * (size - 1));
        double chiSquare = 0;
        for (int i = 0; i < pairs.length; i++) {
            if (i / size != i % size) {
                chiSquare += (pairs[i] - expected) * (pairs[i] - expected) / expected;
            }
        }
        // 379 degrees of freedom; a value above 489 has a probability below 0.0001.
        assertThat(chiSquare, lessThan(489.0));
    }

    @Test
    void shouldUseDifferentKeysForTheSameChatNameOfTwoTeams() {
        var other = Affinity.ofChat(TeamId.of("presa-sur"), ChatId.of("chat1"));
        assertThat(other.key() == chat(1).key(), is(false));
    }

    /**
     * A walk goes to the end when no replica has room. A pass over the set for every few ranks made
     * it cost 750 times the first ranks among 3,000 replicas.
     */
    @Test
    void shouldWalkToTheEndInLittleMoreThanLinearTime() {
        var set = Replicas.set(3_000);
        for (int i = 0; i < 300; i++) {
            walk(set, i, Integer.MAX_VALUE);
        }
        long first = Long.MAX_VALUE;
        long all = Long.MAX_VALUE;
        for (int i = 0; i < 20; i++) {
            long start = System.nanoTime();
            for (int j = 0; j < 20; j++) {
                walk(set, 20 * i + j, 4);
            }
            long middle = System.nanoTime();
            walk(set, i, Integer.MAX_VALUE);
            first = Math.min(first, (middle - start) / 20);
            all = Math.min(all, System.nanoTime() - middle);
        }
        assertThat((double) all / first, is(lessThan(150.0)));
    }

    private static int walk(ReplicaSet set, int chat, int ranks) {
        var ranking = Ranking.of(set, chat(chat));
        int walked = 0;
        while (walked < ranks && ranking.next() >= 0) {
            walked++;
        }
        return walked;
    }
}
