package org.fescueport.internal.load.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.load.experiment.model.Backend;
import org.fescueport.internal.load.experiment.model.Call;
import org.fescueport.internal.load.experiment.model.EngineModel;
import org.fescueport.internal.load.experiment.model.ModelFleet;
import org.fescueport.internal.load.experiment.model.ModelTally;
import org.fescueport.internal.load.experiment.model.Placer;
import org.fescueport.internal.load.experiment.model.ServiceModel;

/**
 * What callers of replicas that queue and refuse by themselves get, by the way of placing: a steady
 * time, then a burst in which one subject gets much of the traffic, then a steady time again.
 * Engines share prompts, plain services share nothing.
 */
final class PlacingExperiment implements Experiment {
    private static final long SECOND = VirtualTime.SECOND;

    /** Sizes and speeds of the engines of the smaller of the two sites that measure us. */
    private static final EngineModel.Settings ENGINE =
            new EngineModel.Settings(64, 192, 526_114, 3_090_000, 60_000, 56.9, 2_048);

    /** The same of its plain service. */
    private static final ServiceModel.Settings SERVICE =
            new ServiceModel.Settings(6, 24, 85_700_000, 0.3);

    private static final double BURST_FACTOR = 2.5;
    private static final double HOT_SHARE = 0.3;
    private static final int SUBJECTS_FOR_EACH_ENGINE = 12;

    /** Spread of the popularity of subjects: the n-th has 1/n of the first one's. */
    private static final double ZIPF = 1.0;

    /** Odd multiplier that makes keys of numbers. */
    private static final long SPREAD = 0x9e3779b97f4a7c15L;

    private record Size(
            String name, int routers, int replicas, boolean service, double ratePerSecond) {}

    /** A kind of call: shared and own prompt tokens, answer, times, share of all calls. */
    private record Kind(
            int shared,
            int own,
            int output,
            int urgency,
            double aimSeconds,
            double deadlineSeconds,
            double share) {}

    private static final List<Kind> KINDS =
            List.of(
                    new Kind(10_512, 1_300, 384, 0, 1.0, 12, 0.24),
                    new Kind(699, 130, 294, 2, 0.8, 12, 0.40),
                    new Kind(2_041, 360, 24, 1, 1.2, 12, 0.36));

    private static final Kind LOOKUP = new Kind(0, 0, 0, 0, 0.386, 1.5, 1);

    /** Longer than any call waits. */
    private static final long RUN_OUT = 12 * SECOND;

    /** One way to place, made for each router. */
    private record Way(String name, Function<ReplicaLoads, Placer> placer) {}

    @Override
    public Report run(long seed, boolean quick) {
        var report = new Report("placing", seed, quick).with("burst_factor", BURST_FACTOR);
        long third = (quick ? 10 : 30) * SECOND;
        List<Size> sizes = new ArrayList<>();
        sizes.add(new Size("5/8", 5, 8, false, 50));
        sizes.add(new Size("32/41", 32, 41, false, 256));
        sizes.add(new Size("32/3 services", 32, 3, true, 80));
        if (!quick) {
            sizes.add(new Size("330/1200", 330, 1_200, false, 1_600));
        }
        for (var size : sizes) {
            for (var way : ways(seed)) {
                new Run(size, way, seed)
                        .measure(third, report.row(size.name() + ": " + way.name()));
            }
        }
        return report;
    }

    private static List<Way> ways(long seed) {
        var random = new Random(seed);
        return List.of(
                new Way("own", Placer::own),
                new Way("least held", Placer::leastHeld),
                new Way("first rank", loads -> Placer.firstRank()),
                new Way("random", loads -> Placer.random(random)));
    }

    /** One fleet under one day. */
    private static final class Run {
        private final VirtualTime mTime = new VirtualTime();
        private final ModelTally mTally = new ModelTally();
        private final List<EngineModel> mEngines = new ArrayList<>();
        private final Random mRandom;
        private final ModelFleet mFleet;
        private final Size mSize;
        private final TreeMap<Double, Integer> mSubjects = new TreeMap<>();
        private double mPopularity;
        private boolean mBurst;
        private long mNextOwn = -1;
        private double mSkewSum;
        private int mSkews;

        Run(Size size, Way way, long seed) {
            mSize = size;
            mRandom = new Random(seed);
            mFleet =
                    ModelFleet.create(
                            mTime,
                            mRandom,
                            mTally,
                            new ModelFleet.Plan(
                                    size.routers(),
                                    way.placer(),
                                    ModelFleet.Admission.NONE,
                                    true,
                                    size.service() ? SERVICE.slots() : ENGINE.slots(),
                                    size.replicas(),
                                    this::newReplica));
            for (int i = 1; i <= size.replicas() * SUBJECTS_FOR_EACH_ENGINE; i++) {
                mPopularity += Math.pow(i, -ZIPF);
                mSubjects.put(mPopularity, i);
            }
        }

        private Backend newReplica() {
            if (mSize.service()) {
                return ServiceModel.create(SERVICE, mTime, mRandom);
            }
            var engine = EngineModel.create(ENGINE, mTime);
            mEngines.add(engine);
            return engine;
        }

        void measure(long third, Map<String, Object> row) {
            mTime.at(third, () -> mBurst = true);
            mTime.at(2 * third, () -> mBurst = false);
            mTime.every(SECOND / 4, this::measureSkew);
            arriveNext(3 * third);
            mTime.runUntil(3 * third + RUN_OUT);
            long read = mEngines.stream().mapToLong(e -> e.counts().readTokens()).sum();
            long shared = mEngines.stream().mapToLong(e -> e.counts().sharedReadTokens()).sum();
            row.put("calls", mTally.arrived());
            row.put("in_aim", mTally.inAim());
            row.put("complete", mTally.complete());
            row.put("refused", mTally.refused());
            row.put("first_p50_ms", mTally.firstMillis(50));
            row.put("first_p99_ms", mTally.firstMillis(99));
            row.put("read_tokens", read);
            row.put("shared_read", shared);
            row.put("busiest_x", mSkewSum / Math.max(1, mSkews));
            row.put("preempted", mEngines.stream().mapToLong(e -> e.counts().preempted()).sum());
        }

        private void arriveNext(long untilNanos) {
            double rate = mSize.ratePerSecond() * (mBurst ? BURST_FACTOR : 1);
            long gap = (long) (-Math.log(1 - mRandom.nextDouble()) / rate * SECOND);
            if (mTime.now() + gap > untilNanos) {
                return;
            }
            mTime.after(
                    gap,
                    () -> {
                        submit();
                        arriveNext(untilNanos);
                    });
        }

        private void submit() {
            if (mSize.service()) {
                long key = mNextOwn * SPREAD;
                var parts = List.of(new Call.Part(mNextOwn--, 0));
                mFleet.submit(call(LOOKUP, parts), new Affinity(key, false));
                return;
            }
            int number = drawKind();
            Kind kind = KINDS.get(number);
            long subject = (long) number << 32 | drawSubject();
            var parts =
                    List.of(
                            new Call.Part(subject, kind.shared()),
                            new Call.Part(mNextOwn--, kind.own()));
            mFleet.submit(call(kind, parts), new Affinity(subject * SPREAD, true));
        }

        private Call call(Kind kind, List<Call.Part> parts) {
            return Call.arriving(
                    mTime.now(),
                    parts,
                    kind.output(),
                    kind.urgency(),
                    (long) (kind.aimSeconds() * SECOND),
                    (long) (kind.deadlineSeconds() * SECOND));
        }

        private int drawKind() {
            double drawn = mRandom.nextDouble();
            int number = 0;
            while (number < KINDS.size() - 1 && drawn >= KINDS.get(number).share()) {
                drawn -= KINDS.get(number).share();
                number++;
            }
            return number;
        }

        private int drawSubject() {
            if (mBurst && mRandom.nextDouble() < HOT_SHARE) {
                return 1;
            }
            return mSubjects.higherEntry(mRandom.nextDouble() * mPopularity).getValue();
        }

        private void measureSkew() {
            List<Integer> held = mFleet.held();
            double mean = held.stream().mapToInt(Integer::intValue).average().orElse(0);
            if (mean >= 1) {
                int most = held.stream().mapToInt(Integer::intValue).max().orElse(0);
                mSkewSum += most / mean;
                mSkews++;
            }
        }
    }
}
