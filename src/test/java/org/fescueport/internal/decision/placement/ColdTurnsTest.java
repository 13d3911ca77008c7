package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The load that is answered: all nodes have more for a replica that is cold than it bears. */
class ColdTurnsTest {
    private static final double PER_SECOND = 10;

    /** As the users' rule has it: so much may come in any second, and no more. */
    private static final int MOST_A_SECOND = (int) (1.5 * PER_SECOND + 5);

    private static final int SECONDS = 30;
    private static final int SEEDS = 50;
    private static final AgentIncarnation LIFE = AgentIncarnation.of(NodeId.of("r1"), 1);

    /** Returns when requests reach the replica; each node has one every few milliseconds. */
    private static List<Long> play(int nodes, int told, long seed) {
        var random = new SplittableRandom(seed);
        List<ColdTurns> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            all.add(ColdTurns.create(random.split()));
            all.getLast().onNodes(told);
        }
        List<Long> sent = new ArrayList<>();
        for (long millis = 0; millis < SECONDS * 1_000; millis += 7) {
            for (var turns : all) {
                long now = Duration.ofMillis(millis).toNanos();
                if (turns.isMine(LIFE, PER_SECOND, now)) {
                    turns.onSent(LIFE);
                    sent.add(millis);
                }
            }
        }
        return sent;
    }

    private static int mostInASecond(List<Long> sent) {
        Deque<Long> second = new ArrayDeque<>();
        int most = 0;
        for (long at : sent) {
            second.add(at);
            while (at - second.getFirst() >= 1_000) {
                second.removeFirst();
            }
            most = Math.max(most, second.size());
        }
        return most;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 26, 33, 330})
    void shouldSendWhatAColdReplicaBearsFromAllNodesTogether(int nodes) {
        for (int seed = 0; seed < SEEDS; seed++) {
            var sent = play(nodes, nodes, seed);
            assertThat("seed " + seed, mostInASecond(sent), lessThanOrEqualTo(MOST_A_SECOND));
            assertThat("seed " + seed, sent.size(), greaterThan(SECONDS * 3));
        }
    }

    @ParameterizedTest
    @CsvSource({"26, 33", "33, 330", "4, 26"})
    void shouldKeepTheBoundWhileSomeNodesAreGone(int nodes, int told) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(mostInASecond(play(nodes, told, seed)), lessThanOrEqualTo(MOST_A_SECOND));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33, 330})
    void shouldKeepTheBoundWhileNodesDoNotKnowHowManyTheyAre(int nodes) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(mostInASecond(play(nodes, 0, seed)), lessThanOrEqualTo(MOST_A_SECOND));
        }
    }

    @Test
    void shouldNotTakeThePartOfNodesThatItDoesNotSeeAnyMore() {
        var cut = ColdTurns.create(new SplittableRandom(1));
        cut.onNodes(33);
        cut.onNodes(1);
        int turns = 0;
        for (int i = 0; i < 1_000; i++) {
            turns += cut.isMine(LIFE, PER_SECOND, Duration.ofMillis(100L * i).toNanos()) ? 1 : 0;
        }
        assertThat(turns, lessThanOrEqualTo(40));
    }

    @Test
    void shouldSendOneRequestInOneTurn() {
        var alone = ColdTurns.create(new SplittableRandom(1));
        alone.onNodes(1);
        long now = 0;
        while (!alone.isMine(LIFE, PER_SECOND, now)) {
            now += Duration.ofMillis(100).toNanos();
        }
        alone.onSent(LIFE);
        assertThat(alone.isMine(LIFE, PER_SECOND, now), is(false));
    }
}
