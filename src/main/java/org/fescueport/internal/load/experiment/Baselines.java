package org.fescueport.internal.load.experiment;

import java.util.Random;
import org.fescueport.internal.load.experiment.model.Placer;

/** What others do, and an oracle; each sees the true load, which is more than a router has. */
final class Baselines {
    private Baselines() {}

    static Policy random(long seed) {
        var random = new Random(seed);
        return (job, fleet) -> target(anyOf(fleet, random));
    }

    static Policy leastLoad() {
        return (job, fleet) -> target(leastLoaded(fleet));
    }

    static Policy powerOfTwoChoices(long seed) {
        var random = new Random(seed);
        return (job, fleet) -> {
            var one = anyOf(fleet, random);
            var two = anyOf(fleet, random);
            one.update();
            two.update();
            return target(one.loadTokens() <= two.loadTokens() ? one : two);
        };
    }

    static Policy plainRendezvous() {
        var firstRank = Placer.firstRank();
        return (job, fleet) ->
                firstRank
                        .choose(
                                fleet.viewOf(job.mRouter),
                                job.mAffinity,
                                replica ->
                                        !job.mTried.contains(replica.node())
                                                && fleet.isListed(job.mRouter, replica.node()),
                                fleet.now())
                        .map(replica -> target(fleet.replica(replica.node())))
                        .orElse(null);
    }

    /**
     * Knows every cache and load and keeps the bound.
     *
     * @param imports whether it may import a cache when the holder is above its bound
     */
    static Policy oracle(boolean imports) {
        return new Policy() {
            @Override
            public Target choose(Job job, Fleet fleet) {
                var holder = fleet.holderOf(job.mChat);
                boolean holds = holder != null && holder.mAlive && holder.mCache.use(job.mChat) > 0;
                if (holds && fleet.admits(holder, job)) {
                    return target(holder);
                }
                // The least loaded one takes it whatever the bound, as somebody has to.
                job.mLeastRefusedTokens = Long.MAX_VALUE;
                return new Target(leastLoaded(fleet), holds && imports ? holder : null);
            }

            @Override
            public boolean isBounded() {
                return true;
            }

            @Override
            public boolean knowsMean() {
                return true;
            }

            @Override
            public boolean handsOver() {
                return true;
            }
        };
    }

    private static FakeReplica anyOf(Fleet fleet, Random random) {
        var live = fleet.live();
        return live.get(random.nextInt(live.size()));
    }

    private static FakeReplica leastLoaded(Fleet fleet) {
        var best = fleet.leastLoaded();
        best.update();
        return best;
    }

    private static Policy.Target target(FakeReplica replica) {
        return new Policy.Target(replica, null);
    }
}
