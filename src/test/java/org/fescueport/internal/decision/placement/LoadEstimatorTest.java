package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.junit.jupiter.api.Test;

class LoadEstimatorTest {
    private static final NodeId NODE = NodeId.of("r0");
    private static final long NOW = TimeUnit.HOURS.toNanos(1);

    private final LoadEstimator mEstimator = LoadEstimator.create(3);

    private static LoadReport report(long tokens) {
        return new LoadReport(tokens, 1_000, 100);
    }

    @Test
    void shouldAddTokensSentSinceTheLastReport() {
        mEstimator.onReport(NODE, report(1_400), 0, NOW);
        mEstimator.onSent(NODE, 300);
        assertThat(mEstimator.loadOf(NODE, NOW), closeTo(1_700, 0.1));
        mEstimator.onReport(NODE, report(1_700), 300, NOW);
        assertThat(mEstimator.loadOf(NODE, NOW), closeTo(1_700, 0.1));
    }

    @Test
    void shouldDecayTowardsTheMeanAsAReportAges() {
        mEstimator.onReport(NODE, report(1_400), 0, NOW);
        double later = mEstimator.loadOf(NODE, NOW + TimeUnit.MILLISECONDS.toNanos(1_500));
        assertThat(later, closeTo(1_200, 0.1));
        assertThat(
                mEstimator.loadOf(NODE, NOW + TimeUnit.SECONDS.toNanos(11)), closeTo(1_000, 0.1));
    }

    @Test
    void shouldForgetTheMeanWithoutReports() {
        mEstimator.onReport(NODE, report(1_400), 0, NOW);
        assertThat(mEstimator.mean(NOW + TimeUnit.MINUTES.toNanos(2)), is(0.0));
    }

    @Test
    void shouldNotCountLostRequests() {
        mEstimator.onSent(NODE, 300);
        mEstimator.onLost(NODE, 300);
        mEstimator.onLost(NODE, 300);
        assertThat(mEstimator.loadOf(NODE, NOW), is(0.0));
    }

    @Test
    void shouldBoundTheNumberOfReplicas() {
        for (int i = 0; i < 50; i++) {
            mEstimator.onSent(NodeId.of("x" + i), 1);
            mEstimator.onReport(NodeId.of("y" + i), report(1), 0, NOW);
        }
        assertThat(mEstimator.size(), lessThan(4));
        mEstimator.retain(Replicas.set(1));
        assertThat(mEstimator.size(), is(0));
    }
}
