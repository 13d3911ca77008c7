package org.fescueport.internal.load.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.load.experiment.ModelKinds.Kind;
import org.fescueport.internal.load.experiment.model.Call;
import org.fescueport.internal.load.experiment.model.EngineModel;
import org.fescueport.internal.load.experiment.model.ModelFleet;
import org.fescueport.internal.load.experiment.model.ModelFleet.Admission;
import org.fescueport.internal.load.experiment.model.ModelTally;
import org.fescueport.internal.load.experiment.model.Placer;
import org.fescueport.internal.load.experiment.model.ServiceModel;

/**
 * What callers get when more arrives than the replicas can serve: offered load from half of their
 * capacity to four times as much, with callers that repeat what was refused, with and without the
 * routers' admission; and with one team at twenty times its rate.
 */
final class OverloadExperiment implements Experiment {
    private static final long SECOND = VirtualTime.SECOND;
    private static final double[] FACTORS = {0.5, 1, 2, 3, 4};
    private static final double WARM_FACTOR = 0.5;
    private static final double SURGE = 20;
    private static final int TEAMS = 10;
    private static final int SUBJECTS_FOR_EACH_ENGINE = 12;
    private static final double ZIPF = 0.3;

    /** Odd multiplier that makes keys of numbers. */
    private static final long SPREAD = 0x9e3779b97f4a7c15L;

    /** Callers come back after at most this part of the time they have left. */
    private static final double RETURN_PART = 1.0 / 3;

    private static final long WARM = 5 * SECOND;

    private record Size(
            String name, int routers, int replicas, boolean service, double capacityPerSecond) {}

    private static final List<Size> SIZES =
            List.of(
                    new Size("4/8 engines", 4, 8, false, 120),
                    new Size("33/40 engines", 33, 40, false, 600),
                    new Size("4/3 services", 4, 3, true, 200),
                    new Size("33/5 services", 33, 5, true, 333));

    @Override
    public Report run(long seed, boolean quick) {
        var report = new Report("overload", seed, quick).with("surge_factor", SURGE);
        long time = (quick ? 8 : 20) * SECOND;
        for (var size : SIZES) {
            for (var admission : Admission.values()) {
                String way = size.name() + ", " + name(admission);
                for (double factor : FACTORS) {
                    new Run(size, admission, factor, 1, seed)
                            .measure(time, report.row(way + ", x" + factor));
                }
                new Run(size, admission, 0.5, SURGE, seed)
                        .measure(time, report.row(way + ", surge"));
            }
        }
        return report;
    }

    private static String name(Admission admission) {
        return switch (admission) {
            case NONE -> "none";
            case ANSWER_TIMES -> "admission";
            case STARTS -> "starts";
        };
    }

    /** What callers of one kind got. */
    private static final class Got {
        private long mArrived;
        private long mInTime;
        private long mServed;
        private final Histogram mFirstMicros = new Histogram(3);
    }

    /** One fleet under one load. */
    private static final class Run {
        private final VirtualTime mTime = new VirtualTime();
        private final Size mSize;
        private final double mFactor;
        private final double mSurge;
        private final Random mRandom;
        private final ModelFleet mFleet;
        private final Map<String, Got> mByKind = new TreeMap<>();
        private final Map<Integer, Got> mByTeam = new HashMap<>();
        private final TreeMap<Double, Integer> mSubjects = new TreeMap<>();
        private double mPopularity;
        private long mNextOwn = -1;

        Run(Size size, Admission admission, double factor, double surge, long seed) {
            mSize = size;
            mFactor = factor;
            mSurge = surge;
            mRandom = new Random(seed);
            mFleet =
                    ModelFleet.create(
                            mTime,
                            mRandom,
                            new ModelTally(),
                            new ModelFleet.Plan(
                                    size.routers(),
                                    Placer::own,
                                    admission,
                                    !size.service(),
                                    size.service()
                                            ? ModelKinds.SERVICE.slots()
                                            : ModelKinds.ENGINE.slots(),
                                    size.replicas(),
                                    () ->
                                            size.service()
                                                    ? ServiceModel.create(
                                                            ModelKinds.SERVICE, mTime, mRandom)
                                                    : EngineModel.create(
                                                            ModelKinds.ENGINE, mTime)));
            for (int i = 1; i <= size.replicas() * SUBJECTS_FOR_EACH_ENGINE; i++) {
                mPopularity += Math.pow(i, -ZIPF);
                mSubjects.put(mPopularity, i);
            }
        }

        void measure(long time, Map<String, Object> row) {
            arriveNext(WARM + time);
            mTime.runUntil(WARM + time + 15 * SECOND);
            double seconds = time / (double) SECOND;
            var all = mByKind.values();
            row.put("offered_s", all.stream().mapToLong(g -> g.mArrived).sum() / seconds);
            row.put("in_time_s", all.stream().mapToLong(g -> g.mInTime).sum() / seconds);
            row.put("served", served(all));
            row.put("rejected", mFleet.rejectedPart());
            mByKind.forEach((kind, got) -> row.put(kind, part(got.mInTime, got.mArrived)));
            var others = new Histogram(3);
            mByTeam.forEach((team, got) -> addOthers(others, team, got));
            row.put("others_p95_ms", others.getValueAtPercentile(95) / 1_000.0);
        }

        private static void addOthers(Histogram others, int team, Got got) {
            if (team != 0) {
                others.add(got.mFirstMicros);
            }
        }

        private static double served(java.util.Collection<Got> all) {
            return part(
                    all.stream().mapToLong(g -> g.mServed).sum(),
                    all.stream().mapToLong(g -> g.mArrived).sum());
        }

        private static double part(long some, long all) {
            return some / (double) Math.max(1, all);
        }

        private void arriveNext(long untilNanos) {
            double share = (TEAMS - 1 + mSurge) / TEAMS;
            double rate = mSize.capacityPerSecond() * (isWarm() ? mFactor * share : WARM_FACTOR);
            long gap = (long) (-Math.log(1 - mRandom.nextDouble()) / rate * SECOND);
            if (mTime.now() + gap > untilNanos) {
                return;
            }
            mTime.after(
                    gap,
                    () -> {
                        arrive();
                        arriveNext(untilNanos);
                    });
        }

        private boolean isWarm() {
            return mTime.now() >= WARM;
        }

        private void arrive() {
            Kind kind =
                    ModelKinds.draw(
                            mSize.service() ? ModelKinds.LOOKUPS : ModelKinds.GENERATIONS,
                            mRandom.nextDouble());
            int team = drawTeam();
            long subject = mSize.service() ? mNextOwn : drawSubject(kind);
            var own = new Call.Part(mNextOwn--, kind.own());
            var parts =
                    mSize.service()
                            ? List.of(own)
                            : List.of(new Call.Part(subject, kind.shared()), own);
            var affinity = new Affinity(subject * SPREAD, !mSize.service());
            var caller = new RepeatingCaller(affinity, team, isWarm() ? kind.name() : "");
            caller.begin(kind.call(mTime.now(), parts));
        }

        private int drawTeam() {
            double weights = TEAMS - 1 + (isWarm() ? mSurge : 1);
            double drawn = mRandom.nextDouble() * weights;
            return drawn < TEAMS - 1 ? 1 + (int) drawn : 0;
        }

        private long drawSubject(Kind kind) {
            int number = mSubjects.higherEntry(mRandom.nextDouble() * mPopularity).getValue();
            return (long) (kind.urgency() + 1) << 32 | number;
        }

        /** Sends a refused call once more, as long after as it was told. */
        private final class RepeatingCaller implements ModelFleet.Caller {
            private final Affinity mAffinity;
            private final TeamId mTeam;
            private final Got mKind;
            private final Got mTeamGot;
            private boolean mRepeated;

            RepeatingCaller(Affinity affinity, int team, String kind) {
                mAffinity = affinity;
                mTeam = TeamId.of("team-" + team);
                boolean counts = !kind.isEmpty();
                mKind = counts ? mByKind.computeIfAbsent(kind, k -> new Got()) : new Got();
                mTeamGot = counts ? mByTeam.computeIfAbsent(team, t -> new Got()) : new Got();
            }

            void begin(Call call) {
                mKind.mArrived++;
                mFleet.submit(call, mAffinity, mTeam, this);
            }

            @Override
            public void onFirst(Call call) {
                long now = mTime.now();
                mKind.mServed++;
                mKind.mInTime += call.isInAim(now) ? 1 : 0;
                mTeamGot.mFirstMicros.recordValue(call.waitedNanos(now) / 1_000);
            }

            @Override
            public void onRefused(Call call, long retryAfterMillis) {
                long left = call.endAtNanos() - mTime.now();
                if (mRepeated || left <= 0) {
                    return;
                }
                mRepeated = true;
                double told = retryAfterMillis * (1 + mRandom.nextDouble()) * VirtualTime.MILLI;
                mTime.after(
                        (long) Math.min(told, RETURN_PART * left),
                        () -> mFleet.submit(call, mAffinity, mTeam, this));
            }
        }
    }
}
