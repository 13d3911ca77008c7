package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.junit.jupiter.api.Test;

class LoadBookTest {
    private static final NodeId NODE = NodeId.of("r0");
    private static final long NOW = TimeUnit.HOURS.toNanos(1);

    private final LoadBook mBook = LoadBook.create(3);

    private static LoadReport report(long tokens) {
        return new LoadReport(tokens, 1_000, 100);
    }

    @Test
    void shouldAddWhatWasSentSinceTheReport() {
        mBook.onReport(NODE, report(1_400), 0, NOW);
        mBook.onSent(NODE, 300);
        assertThat(mBook.loadOf(NODE, NOW), closeTo(1_700, 0.1));
        mBook.onReport(NODE, report(1_700), 300, NOW);
        assertThat(mBook.loadOf(NODE, NOW), closeTo(1_700, 0.1));
    }

    @Test
    void shouldMoveTowardsTheMeanAsAReportAges() {
        mBook.onReport(NODE, report(1_400), 0, NOW);
        double later = mBook.loadOf(NODE, NOW + TimeUnit.MILLISECONDS.toNanos(1_500));
        assertThat(later, closeTo(1_200, 0.1));
        assertThat(mBook.loadOf(NODE, NOW + TimeUnit.SECONDS.toNanos(11)), closeTo(1_000, 0.1));
    }

    @Test
    void shouldForgetTheMeanWhenNoReportComes() {
        mBook.onReport(NODE, report(1_400), 0, NOW);
        assertThat(mBook.mean(NOW + TimeUnit.MINUTES.toNanos(2)), is(0.0));
    }

    @Test
    void shouldNotCountWorkThatWasLost() {
        mBook.onSent(NODE, 300);
        mBook.onLost(NODE, 300);
        mBook.onLost(NODE, 300);
        assertThat(mBook.loadOf(NODE, NOW), is(0.0));
    }

    @Test
    void shouldStayBounded() {
        for (int i = 0; i < 50; i++) {
            mBook.onSent(NodeId.of("x" + i), 1);
            mBook.onReport(NodeId.of("y" + i), report(1), 0, NOW);
        }
        assertThat(mBook.size(), lessThan(4));
        mBook.retain(Replicas.set(1));
        assertThat(mBook.size(), is(0));
    }
}
