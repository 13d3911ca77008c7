package org.fescueport.internal.load.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.fescueport.internal.load.soak.SoakPlan.Action;
import org.fescueport.internal.load.soak.SoakPlan.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SoakPlanTest {
    private static final long MILLIS = 120_000;
    private static final SoakPlan.Fleet FLEET =
            new SoakPlan.Fleet(
                    List.of("router-1", "router-2"), List.of("engine-1"), List.of("service-1"));

    @Test
    void shouldGiveSamePlanForSameSeed() {
        assertThat(SoakPlan.of(7, MILLIS, FLEET), is(SoakPlan.of(7, MILLIS, FLEET)));
        assertThat(SoakPlan.of(8, MILLIS, FLEET), is(not(SoakPlan.of(7, MILLIS, FLEET))));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldBringBackWhateverItTakesAway(long seed) {
        var away = new HashSet<String>();
        var wrong = new ArrayList<Step>();
        for (var step : SoakPlan.of(seed, MILLIS, FLEET)) {
            boolean isRight =
                    switch (step.action()) {
                        case KILL, FREEZE -> away.add(step.target());
                        case START, THAW -> away.remove(step.target());
                        case STOP -> !away.contains(step.target());
                        case FAULT -> true;
                        case ROLL -> away.isEmpty();
                    };
            if (!isRight) {
                wrong.add(step);
            }
        }
        assertThat(wrong, is(empty()));
        assertThat(away, is(empty()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldEndWithReplacementOfTheWholeFleet(long seed) {
        var rolled =
                SoakPlan.of(seed, MILLIS, FLEET).stream()
                        .filter(step -> step.action() == Action.ROLL)
                        .map(Step::target)
                        .toList();
        assertThat(rolled, is(List.of("router-1", "router-2", "engine-1", "service-1")));
    }
}
