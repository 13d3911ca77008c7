package org.fescueport.internal.load.experiment;

import java.util.Random;

/** Failures and planned replacements of replicas, at times drawn from a seed. */
final class Churn {
    private Churn() {}

    static void schedule(
            VirtualTime time,
            Fleet fleet,
            long spanNanos,
            int failures,
            int replacements,
            long rejoinNanos,
            long seed) {
        var random = new Random(seed);
        for (int i = 0; i < failures; i++) {
            time.at(
                    random.nextLong(spanNanos),
                    () -> fleet.fail(random.nextInt(fleet.live().size()), rejoinNanos));
        }
        for (int i = 0; i < replacements; i++) {
            time.at(
                    random.nextLong(spanNanos),
                    () -> fleet.replace(random.nextInt(fleet.live().size())));
        }
    }
}
