package org.fescueport.internal.load.experiment.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.function.LongFunction;
import org.fescueport.internal.load.experiment.VirtualTime;
import org.fescueport.internal.load.experiment.model.ServiceModel.Health;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How new replicas of a pool fare with the pace and without, on the same seeds. */
class ReplicaPaceModelTest {
    private static final double LOAD = 0.6;
    private static final double FEW = 0.05;
    private static final int WARM_UP_SECONDS = 3;

    /** Doublings from the smallest share, one a second if there are no signs. */
    private static final int RAMP_SECONDS = 4;

    private static final Health SLOW = new Health(8, false);

    /** Number of requests that a sound replica ends within the latency objective. */
    private static final int SERVED_IN_TIME =
            (int) (PaceTrial.SLOTS * PaceTrial.OBJECTIVE_NANOS / PaceTrial.WORK_NANOS);

    private static PaceTrial play(
            PaceWays way, int nodes, double load, int replaced, LongFunction<Health> health) {
        return PaceTrial.run(new PaceTrial.Plan(way, nodes, load, replaced, health, 0));
    }

    private static LongFunction<Health> slowFor(int seconds) {
        return age -> age < seconds * VirtualTime.SECOND ? SLOW : Health.SOUND;
    }

    @ParameterizedTest
    @CsvSource({"4, 0.6", "33, 0.6", "4, 0.05", "33, 0.05"})
    void shouldGiveASoundReplicaItsFairShareWithinTheRamp(int nodes, double load) {
        var paced = play(PaceWays.PACE, nodes, load, 1, age -> Health.SOUND);
        // The share is measured over two seconds, and one request in them is a large part at few.
        assertThat(paced.secondsToFairShare(), lessThanOrEqualTo(RAMP_SECONDS + 2.0));
        assertThat(paced.share(20, PaceTrial.SECONDS), closeTo(1, 0.1));
        assertThat(paced.share(0, 1), lessThan(0.5));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33})
    void shouldNotFloodAReplicaThatIsSlowAtFirst(int nodes) {
        var paced = play(PaceWays.PACE, nodes, LOAD, 1, slowFor(WARM_UP_SECONDS));
        var full = play(PaceWays.NONE, nodes, LOAD, 1, slowFor(WARM_UP_SECONDS));
        assertThat(
                paced.secondsToFairShare(),
                lessThanOrEqualTo((double) WARM_UP_SECONDS + RAMP_SECONDS));
        assertThat(paced.mostHeld(), lessThanOrEqualTo(SERVED_IN_TIME));
        assertThat(paced.late(), lessThan(full.late() / 2));
        assertThat(paced.share(20, PaceTrial.SECONDS), closeTo(1, 0.1));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33})
    void shouldSendLittleToAReplicaThatNeverGetsQuick(int nodes) {
        var paced = play(PaceWays.PACE, nodes, LOAD, 1, age -> SLOW);
        var full = play(PaceWays.NONE, nodes, LOAD, 1, age -> SLOW);
        assertThat(paced.share(20, PaceTrial.SECONDS), lessThan(0.25));
        assertThat(paced.mostHeld(), lessThan(full.mostHeld()));
        assertThat(paced.late(), lessThan(full.late()));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33})
    void shouldNotTakeQuickErrorsForSoundness(int nodes) {
        var paced = play(PaceWays.PACE, nodes, LOAD, 1, age -> new Health(1, true));
        var full = play(PaceWays.NONE, nodes, LOAD, 1, age -> new Health(1, true));
        assertThat(paced.failed(), lessThan(full.failed() / 10));
        assertThat(paced.share(20, PaceTrial.SECONDS), lessThan(0.25));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33})
    void shouldStarveNobodyIfAllReplicasAreNew(int nodes) {
        var paced = play(PaceWays.PACE, nodes, LOAD, PaceTrial.REPLICAS, age -> Health.SOUND);
        assertThat(paced.refused(), lessThan(0.001));
        assertThat(paced.share(0, 1), greaterThan(0.5));
        var slow = play(PaceWays.PACE, nodes, 0.5, PaceTrial.REPLICAS, slowFor(WARM_UP_SECONDS));
        assertThat(slow.refused(), lessThan(0.01));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33})
    void shouldHoldAFlappingReplicaBack(int nodes) {
        int life = 2;
        var flapping = slowFor(1);
        var paced =
                PaceTrial.run(new PaceTrial.Plan(PaceWays.PACE, nodes, LOAD, 1, flapping, life));
        var full = PaceTrial.run(new PaceTrial.Plan(PaceWays.NONE, nodes, LOAD, 1, flapping, life));
        assertThat(paced.late(), lessThan(full.late() / 2));
        assertThat(paced.mostHeld(), lessThanOrEqualTo(SERVED_IN_TIME));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33})
    void shouldLearnFromFewSigns(int nodes) {
        var paced = play(PaceWays.PACE, nodes, FEW, 1, slowFor(WARM_UP_SECONDS));
        var full = play(PaceWays.NONE, nodes, FEW, 1, slowFor(WARM_UP_SECONDS));
        assertThat(
                paced.secondsToFairShare(),
                lessThanOrEqualTo((double) WARM_UP_SECONDS + RAMP_SECONDS));
        assertThat(paced.late(), lessThan(full.late()));
    }
}
