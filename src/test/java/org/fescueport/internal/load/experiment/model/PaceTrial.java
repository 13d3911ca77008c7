package org.fescueport.internal.load.experiment.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongFunction;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.load.experiment.VirtualTime;
import org.fescueport.internal.load.experiment.model.ServiceModel.Health;

/**
 * A pool on a paused clock, some of whose replicas are replaced by new ones while requests arrive
 * at random; what the first of the new replicas gets and holds, over several seeds.
 */
final class PaceTrial {
    static final int REPLICAS = 12;
    static final int SLOTS = 8;
    static final long WORK_NANOS = 300 * VirtualTime.MILLI;
    static final long OBJECTIVE_NANOS = 1_500 * VirtualTime.MILLI;
    static final int SECONDS = 40;

    private static final int SEEDS = 8;
    private static final long START_NANOS = 10 * VirtualTime.SECOND;
    private static final long SAMPLE_NANOS = 50 * VirtualTime.MILLI;

    /** Windows, each as long as this, in which the share is measured. */
    private static final int WINDOWS_PER_SECOND = 4;

    /**
     * What is tried.
     *
     * @param load of the pool relative to its slots
     * @param replaced number of replicas that are replaced
     * @param health of the new replicas by the time since they started
     * @param lifeSeconds time after which the first one is replaced again; 0 for never
     */
    record Plan(
            PaceWays way,
            int nodes,
            double load,
            int replaced,
            LongFunction<Health> health,
            int lifeSeconds) {}

    /** Counts what was sent to one replica. */
    private static final class Counted {
        private final long[] mSent = new long[(SECONDS + 1) * WINDOWS_PER_SECOND];
        private int mMostHeld;
        private int mLate;
        private int mFailed;
    }

    private final Counted mNew = new Counted();
    private final long[] mAll = new long[(SECONDS + 1) * WINDOWS_PER_SECOND];
    private long mArrived;
    private long mRefused;

    private PaceTrial() {}

    static PaceTrial run(Plan plan) {
        var trial = new PaceTrial();
        for (int seed = 1; seed <= SEEDS; seed++) {
            trial.play(plan, seed);
        }
        return trial;
    }

    private void play(Plan plan, int seed) {
        var time = new VirtualTime();
        var random = new Random(seed);
        var tally = new ModelTally();
        var settings = new ServiceModel.Settings(SLOTS, 4 * SLOTS, WORK_NANOS, 0.5);
        var watched = new ArrayList<ServiceModel>();
        var placers = plan.way().placers(new Random(seed));
        var fleet =
                ModelFleet.create(
                        time,
                        random,
                        tally,
                        new ModelFleet.Plan(
                                plan.nodes(),
                                loads -> new Counting(placers.apply(loads), time),
                                ModelFleet.Admission.NONE,
                                true,
                                SLOTS,
                                REPLICAS,
                                () -> ServiceModel.create(settings, time, random)));
        Runnable restart =
                () -> {
                    long start = time.now();
                    LongFunction<Health> health = now -> plan.health().apply(now - start);
                    watched.add(ServiceModel.create(settings, time, random, health));
                    fleet.replace(0, watched.getLast());
                };
        time.at(
                START_NANOS,
                () -> {
                    restart.run();
                    for (int i = 1; i < plan.replaced(); i++) {
                        LongFunction<Health> health = now -> plan.health().apply(now - START_NANOS);
                        fleet.replace(i, ServiceModel.create(settings, time, random, health));
                    }
                    if (plan.lifeSeconds() > 0) {
                        time.every(plan.lifeSeconds() * VirtualTime.SECOND, restart);
                    }
                });
        time.every(
                SAMPLE_NANOS,
                () -> watched.forEach(w -> mNew.mMostHeld = Math.max(mNew.mMostHeld, w.held())));
        arrive(plan, time, random, fleet);
        time.runUntil(START_NANOS + SECONDS * VirtualTime.SECOND);
        mArrived += tally.arrived();
        mRefused += Math.round(tally.refused() * tally.arrived());
    }

    private static void arrive(Plan plan, VirtualTime time, Random random, ModelFleet fleet) {
        double meanWork = WORK_NANOS * Math.exp(0.125);
        double everyNanos = meanWork / (plan.load() * REPLICAS * SLOTS);
        time.after(
                (long) (-everyNanos * Math.log(1 - random.nextDouble())),
                () -> {
                    long deadline = 60 * VirtualTime.SECOND;
                    var call =
                            Call.arriving(time.now(), List.of(), 0, 0, OBJECTIVE_NANOS, deadline);
                    fleet.submit(call, new Affinity(random.nextLong(), false));
                    arrive(plan, time, random, fleet);
                });
    }

    /** Counts what another placer's replicas get. */
    private final class Counting implements Placer {
        private final Placer mPlacer;
        private final VirtualTime mTime;

        Counting(Placer placer, VirtualTime time) {
            mPlacer = placer;
            mTime = time;
        }

        @Override
        public Optional<Replica> choose(
                ReplicaSet set, Affinity affinity, ReplicaFilter filter, long now) {
            return mPlacer.choose(set, affinity, filter, now);
        }

        @Override
        public Watcher onSent(Replica replica, long sent) {
            var watcher = mPlacer.onSent(replica, sent);
            if (sent < START_NANOS) {
                return watcher;
            }
            int window = (int) ((sent - START_NANOS) * WINDOWS_PER_SECOND / VirtualTime.SECOND);
            mAll[window]++;
            if (!replica.node().name().equals("replica-0")) {
                return watcher;
            }
            mNew.mSent[window]++;
            return new Watcher() {
                @Override
                public void onFirst(long now) {
                    mNew.mLate += now - sent > OBJECTIVE_NANOS ? 1 : 0;
                    watcher.onFirst(now);
                }

                @Override
                public void onRefused(long now) {
                    watcher.onRefused(now);
                }

                @Override
                public void onFailed(long now) {
                    mNew.mFailed++;
                    watcher.onFailed(now);
                }
            };
        }
    }

    /** Returns what the new replica got of an equal share, between two times in seconds. */
    double share(double from, double to) {
        long own = 0;
        long all = 0;
        for (int w = (int) (from * WINDOWS_PER_SECOND); w < to * WINDOWS_PER_SECOND; w++) {
            own += mNew.mSent[w];
            all += mAll[w];
        }
        return own * REPLICAS / (double) Math.max(1, all);
    }

    /** Returns the seconds until the new replica gets 0.9 of an equal share for two seconds. */
    double secondsToFairShare() {
        double step = 1.0 / WINDOWS_PER_SECOND;
        for (double at = 0; at + 2 <= SECONDS; at += step) {
            if (share(at, at + 2) >= 0.9) {
                return at;
            }
        }
        return SECONDS;
    }

    /** Returns the most requests that the new replica held in any run. */
    int mostHeld() {
        return mNew.mMostHeld;
    }

    /** Returns the late answers of the new replica a run. */
    double late() {
        return mNew.mLate / (double) SEEDS;
    }

    /** Returns the failed requests of the new replica a run. */
    double failed() {
        return mNew.mFailed / (double) SEEDS;
    }

    /** Returns the part of all requests that no replica took. */
    double refused() {
        return mRefused / (double) Math.max(1, mArrived);
    }
}
