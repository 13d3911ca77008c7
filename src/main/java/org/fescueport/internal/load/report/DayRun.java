package org.fescueport.internal.load.report;

import java.util.Comparator;
import java.util.List;

/**
 * One day as it was played with one version of the program.
 *
 * @param site installation that was played
 * @param version commit that was played, abbreviated
 * @param when it was played; ISO 8601, in UTC
 * @param worth of the whole day, 0 to 1, losses taken off
 * @param classes served by class of service, in the installation's order
 * @param windows served by stretch of the day, in order; empty where that was not kept
 */
record DayRun(
        String site,
        String day,
        String version,
        String when,
        double worth,
        List<Loss> losses,
        List<Share> classes,
        List<Share> zones,
        List<Share> windows) {
    DayRun {
        losses = List.copyOf(losses);
        classes = List.copyOf(classes);
        zones = List.copyOf(zones);
        windows = List.copyOf(windows);
    }

    /** Returns what cost most, the largest first. */
    List<Loss> largestLosses(int most) {
        return losses.stream()
                .filter(loss -> loss.worth() > 0)
                .sorted(Comparator.comparingDouble(Loss::worth).reversed())
                .limit(most)
                .toList();
    }
}
