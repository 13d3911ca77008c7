package org.fescueport.internal.load.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlacingExperimentTest {
    private static final Report REPORT = new PlacingExperiment().run(1, true);

    private static double figure(String size, String way, String column) {
        return ((Number) REPORT.figure(size + ": " + way, column)).doubleValue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"5/8", "32/41"})
    void shouldServeABurstOnAHotSubjectBetterThanOtherWays(String size) {
        double own = figure(size, "own", "in_aim");
        assertThat(own, greaterThan(0.97));
        for (String way : new String[] {"least held", "first rank", "random"}) {
            assertThat(own, greaterThanOrEqualTo(figure(size, way, "in_aim")));
        }
        assertThat(figure(size, "own", "refused"), is(0.0));
        assertThat(figure(size, "own", "complete"), greaterThan(0.99));
    }

    @Test
    void shouldSpreadRequestsThatShareNothingBetterThanChance() {
        String size = "32/3 services";
        assertThat(
                figure(size, "own", "in_aim"),
                greaterThanOrEqualTo(figure(size, "random", "in_aim")));
        assertThat(figure(size, "own", "refused"), lessThan(0.01));
    }

    @ParameterizedTest
    @ValueSource(strings = {"5/8", "32/41"})
    void shouldReadPromptsAgainFarLessOftenThanWithoutTheirPrefix(String size) {
        double own = figure(size, "own", "shared_read");
        assertThat(own, lessThan(0.6 * figure(size, "random", "shared_read")));
        assertThat(own, lessThan(0.6 * figure(size, "least held", "shared_read")));
    }

    @Test
    void shouldGiveTheSameFiguresForTheSameSeed() {
        assertThat(new PlacingExperiment().run(1, true).json(), is(REPORT.json()));
    }
}
