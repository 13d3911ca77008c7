package org.fescueport.internal.decision.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FairSharesTest {
    private static final double TOLERANCE = 1e-6;

    private static PoolDemand demand(double... offered) {
        List<TeamDemand> teams = new ArrayList<>();
        for (int i = 0; i < offered.length; i++) {
            teams.add(new TeamDemand(new TeamKey(i), offered[i], 0));
        }
        return PoolDemand.of(teams, true);
    }

    @ParameterizedTest
    @CsvSource({
        "10, 10, 10, 100, 10, 10, 10",
        "80, 10, 10, 50, 30, 10, 10",
        "80, 40, 10, 50, 20, 20, 10",
        "30, 30, 30, 45, 15, 15, 15"
    })
    void shouldCutTheLargestDemandsToTheSameLevel(
            double a, double b, double c, double capacity, double gotA, double gotB, double gotC) {
        var shares = FairShares.of(demand(a, b, c), capacity);
        assertThat(shares.grantedFraction(new TeamKey(0)) * a, is(closeTo(gotA, TOLERANCE)));
        assertThat(shares.grantedFraction(new TeamKey(1)) * b, is(closeTo(gotB, TOLERANCE)));
        assertThat(shares.grantedFraction(new TeamKey(2)) * c, is(closeTo(gotC, TOLERANCE)));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldGrantNeitherMoreThanThereIsNorMoreThanIsAskedFor(long seed) {
        var random = new Random(seed);
        double[] offered =
                DoubleStream.generate(() -> 100 * Math.pow(random.nextDouble(), 4))
                        .limit(1 + random.nextInt(60))
                        .toArray();
        double all = DoubleStream.of(offered).sum();
        double capacity = all * random.nextDouble();
        var shares = FairShares.of(demand(offered), capacity);
        assertThat(shares.granted(), is(lessThanOrEqualTo(capacity + TOLERANCE)));
        assertThat(shares.granted(), is(closeTo(capacity, 0.05 * all)));
        for (int i = 0; i < offered.length; i++) {
            assertThat(shares.grantedFraction(new TeamKey(i)), is(lessThanOrEqualTo(1.0)));
        }
    }

    /** Sums of any grouping of nodes must tell the same, whatever the tree of nodes is. */
    @Test
    void shouldAddUpToTheSameInAnyOrder() {
        var a = demand(5, 1, 2);
        var b = demand(0, 7, 1);
        var c = demand(3, 3, 3);
        var left = PoolDemand.sum(List.of(PoolDemand.sum(List.of(a, b)), c));
        var right = PoolDemand.sum(List.of(a, PoolDemand.sum(List.of(b, c))));
        assertThat(left, is(right));
        assertThat(left.offered(), is(closeTo(25, TOLERANCE)));
    }

    @Test
    void shouldLeaveANodeAloneWhileNobodyIsShort() {
        var fleet = PoolDemand.of(List.of(new TeamDemand(new TeamKey(1), 9, 1)), false);
        assertThat(NodeShare.of(fleet.largest(), fleet), is(NodeShare.NONE));
    }

    @ParameterizedTest
    @CsvSource({"0.2, 1.5", "20, 0.7", "5, 1"})
    void shouldCorrectALimitTowardsTheShareOfTheNode(double started, double factor) {
        var own = List.of(new TeamDemand(new TeamKey(1), 10, started));
        var fleet = PoolDemand.of(List.of(new TeamDemand(new TeamKey(1), 100, 50)), true);
        assertThat(NodeShare.of(own, fleet).limitFactor(), is(closeTo(factor, TOLERANCE)));
    }
}
