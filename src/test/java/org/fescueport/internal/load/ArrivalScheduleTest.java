package org.fescueport.internal.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fescueport.internal.load.ArrivalSchedule.Arrival;
import org.junit.jupiter.api.Test;

class ArrivalScheduleTest {
    private static final double SECOND = 1e9;

    @Test
    void shouldGiveTheSameArrivalsForTheSameSeed() {
        assertThat(arrivals(1, 3), is(arrivals(1, 3)));
        assertThat(arrivals(1, 3).equals(arrivals(1, 4)), is(false));
    }

    @Test
    void shouldKeepRateAndShareItEvenly() {
        List<Arrival> recorded =
                arrivals(1, 3).stream().filter(a -> a.atNanos() >= 2 * SECOND).toList();

        assertThat(recorded.size() / 10.0, closeTo(1000, 40));
        assertThat(shareOfFirst(recorded), closeTo(0.25, 0.02));
    }

    @Test
    void shouldRaiseOnlyTheFirstTeamInItsSurge() {
        List<Arrival> surge =
                arrivals(20, 3).stream().filter(a -> a.atNanos() >= 7 * SECOND).toList();

        assertThat(surge.size() / 5.0, closeTo(1000 * 23 / 4.0, 120));
        assertThat(shareOfFirst(surge), closeTo(20 / 23.0, 0.02));
    }

    private static double shareOfFirst(List<Arrival> arrivals) {
        long first = arrivals.stream().filter(a -> a.team() == 0).count();
        return first / (double) arrivals.size();
    }

    private static List<Arrival> arrivals(int surgeFactor, long seed) {
        LoadProfile profile =
                new LoadProfile(
                        List.of("a", "b", "c", "d"),
                        List.of("m"),
                        1000,
                        10,
                        2,
                        50,
                        10,
                        1,
                        1,
                        1,
                        100,
                        new LoadProfile.Surge(surgeFactor, 5),
                        seed);
        ArrivalSchedule schedule = ArrivalSchedule.of(profile, new SplittableRandom(seed));
        List<Arrival> arrivals = new ArrayList<>();
        for (Arrival next = schedule.next(); next != null; next = schedule.next()) {
            arrivals.add(next);
        }
        return arrivals;
    }
}
