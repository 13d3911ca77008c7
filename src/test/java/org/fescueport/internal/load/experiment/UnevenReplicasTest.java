package org.fescueport.internal.load.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.PrefixPlacement;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.decision.placement.ReplicaSpeeds;
import org.fescueport.internal.load.experiment.model.Backend;
import org.fescueport.internal.load.experiment.model.Call;
import org.fescueport.internal.load.experiment.model.EngineModel;
import org.fescueport.internal.load.experiment.model.ModelFleet;
import org.fescueport.internal.load.experiment.model.ModelTally;
import org.fescueport.internal.load.experiment.model.Placer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Placement on engines of which a quarter is four times slower, by what the routers know of it,
 * with the loads and speeds as stale as the last answers of each replica.
 */
class UnevenReplicasTest {
    private static final long SECOND = VirtualTime.SECOND;
    private static final long MILLI = VirtualTime.MILLI;
    private static final EngineModel.Settings ENGINE =
            new EngineModel.Settings(64, 192, 526_114, 3_090_000, 60_000, 56.9, 2_048);
    private static final long END = 40 * SECOND;

    /** Time for which every way of placing learns the speeds; not counted. */
    private static final long WARM_UP = 10 * SECOND;

    private static final double SLOWNESS = 4;
    private static final int SUBJECTS_FOR_EACH_ENGINE = 12;
    private static final long SPREAD = 0x9e3779b97f4a7c15L;

    /** Period and ratio by which the reported figures change. */
    private static final long FLICKER_PERIOD = 600 * MILLI;

    private static final double FLICKER = 2.5;

    /** How the routers learn the speeds. */
    private enum Knowledge {
        /** Nothing; as where no replica reports its speed. */
        NONE,
        /** Each replica reports its own; the figures flicker. */
        REPORTED,
        /** All report the same, flickering figure, so the slow ones show by their answers only. */
        OBSERVED,
        /** The true speeds and the present loads. */
        ORACLE
    }

    /** Shared and own tokens of the prompt, tokens of the answer, objective, share of all calls. */
    private record Kind(int shared, int own, int output, long objectiveNanos, double share) {}

    private static final List<Kind> KINDS =
            List.of(
                    new Kind(10_512, 1_300, 384, 1_000 * MILLI, 0.24),
                    new Kind(699, 130, 294, 400 * MILLI, 0.40),
                    new Kind(2_041, 360, 24, 600 * MILLI, 0.36));

    /** One fleet under a steady load. */
    private static final class Run {
        private final VirtualTime mTime = new VirtualTime();
        private final ModelTally mTally = new ModelTally();
        private final Random mRandom;
        private final List<EngineModel> mEngines = new ArrayList<>();
        private final Map<NodeId, Integer> mIndexes = new HashMap<>();
        private final int mReplicas;
        private final double mRate;
        private final Knowledge mKnowledge;
        private final ModelFleet mFleet;
        private long mNextOwn = -1;
        private int mSent;
        private int mBeyondBound;
        private int mSentToSlow;
        private int mCounted;
        private int mInTime;

        /**
         * Plays the load.
         *
         * @param rate requests a second for each replica
         */
        Run(int routers, int replicas, double rate, Knowledge knowledge, long seed) {
            mRate = rate;
            mRandom = new Random(seed);
            mReplicas = replicas;
            mKnowledge = knowledge;
            var plan =
                    new ModelFleet.Plan(
                            routers,
                            Router::new,
                            ModelFleet.Admission.NONE,
                            true,
                            ENGINE.slots(),
                            replicas,
                            this::newEngine);
            mFleet = ModelFleet.create(mTime, mRandom, mTally, plan);
            arriveNext();
            mTime.runUntil(END + 3 * SECOND);
        }

        double inTime() {
            return (double) mInTime / mCounted;
        }

        /** Returns the share of requests sent to a replica above the bound on its requests. */
        double beyondBound() {
            return (double) mBeyondBound / mSent;
        }

        /** Returns the share of requests sent to the quarter of slow replicas. */
        double sentToSlow() {
            return (double) mSentToSlow / mSent;
        }

        private Backend newEngine() {
            int index = mEngines.size();
            mIndexes.put(NodeId.of("replica-" + index), index);
            var engine = EngineModel.create(ENGINE, mTime, slowness(index));
            mEngines.add(engine);
            return engine;
        }

        private static double slowness(int index) {
            return index % 4 == 0 ? SLOWNESS : 1;
        }

        private int reported(int index) {
            boolean high = (mTime.now() / FLICKER_PERIOD + index) % 2 == 0;
            double base = mKnowledge == Knowledge.REPORTED ? slowness(index) : 1;
            return (int) (100 * base * (high ? FLICKER : 1));
        }

        private void arriveNext() {
            double gaps = -Math.log(1 - mRandom.nextDouble());
            long gap = (long) (gaps / (mRate * mReplicas) * SECOND);
            if (mTime.now() + gap > END) {
                return;
            }
            mTime.after(
                    gap,
                    () -> {
                        submit();
                        arriveNext();
                    });
        }

        private void submit() {
            double drawn = mRandom.nextDouble();
            int number = drawn < 0.24 ? 0 : drawn < 0.64 ? 1 : 2;
            Kind kind = KINDS.get(number);
            long subject =
                    (long) number << 32 | mRandom.nextInt(mReplicas * SUBJECTS_FOR_EACH_ENGINE);
            var parts =
                    List.of(
                            new Call.Part(subject, kind.shared()),
                            new Call.Part(mNextOwn--, kind.own()));
            var call =
                    Call.arriving(
                            mTime.now(),
                            parts,
                            kind.output(),
                            number,
                            kind.objectiveNanos(),
                            12 * SECOND);
            mCounted += mTime.now() >= WARM_UP ? 1 : 0;
            mFleet.submit(call, new Affinity(subject * SPREAD, true));
        }

        /** The decisions of one router, which observes what its own calls get. */
        private final class Router implements Placer {
            private final ReplicaLoads mLoads;
            private final ReplicaSpeeds mSpeeds = ReplicaSpeeds.create();
            private final PrefixPlacement mPlacement;
            private final Map<Call, Long> mFirstNanos = new IdentityHashMap<>();

            Router(ReplicaLoads loads) {
                mLoads = loads;
                mPlacement = PrefixPlacement.create(loads, mSpeeds, Mechanisms.all());
            }

            @Override
            public Optional<Replica> choose(
                    ReplicaSet set, Affinity affinity, ReplicaFilter filter, long now) {
                if (mKnowledge == Knowledge.ORACLE) {
                    for (var replica : set.replicas()) {
                        int index = mIndexes.get(replica.node());
                        mLoads.onReport(replica.node(), mEngines.get(index).held(), now);
                        mSpeeds.onReport(replica.node(), (int) (100 * slowness(index)), now);
                    }
                }
                var chosen = mPlacement.choose(set, affinity, filter, now);
                chosen.ifPresent(replica -> count(mIndexes.get(replica.node()), now));
                return chosen;
            }

            private void count(int index, long now) {
                if (now < WARM_UP) {
                    return;
                }
                double mean = mEngines.stream().mapToInt(EngineModel::held).average().orElse(0);
                mSent++;
                mSentToSlow += slowness(index) > 1 ? 1 : 0;
                mBeyondBound += mEngines.get(index).held() > 2 * mean + 3 ? 1 : 0;
            }

            @Override
            public void onFirst(NodeId replica, Call call, long sentNanos, long now) {
                boolean counted = sentNanos >= WARM_UP;
                mInTime += counted && call.isInAim(now) ? 1 : 0;
                if (mKnowledge == Knowledge.REPORTED || mKnowledge == Knowledge.OBSERVED) {
                    mSpeeds.onReport(replica, reported(mIndexes.get(replica)), now);
                    double held = (double) mLoads.inFlight(replica, now) / ENGINE.slots();
                    mSpeeds.onWork(replica, kindOf(call), held, now - sentNanos, now);
                    mFirstNanos.put(call, now);
                }
            }

            @Override
            public void onComplete(NodeId replica, Call call, long now) {
                Long first = mFirstNanos.remove(call);
                if (first != null) {
                    double held = (double) mLoads.inFlight(replica, now) / ENGINE.slots();
                    long pause = (now - first) / (call.outputTokens() - 1);
                    mSpeeds.onWork(replica, kindOf(call) + " events", held, pause, now);
                }
            }
        }
    }

    private static String kindOf(Call call) {
        return "kind-" + call.urgency();
    }

    @ParameterizedTest
    @CsvSource({
        "4, 8, 9, REPORTED",
        "4, 8, 9, OBSERVED",
        "33, 40, 9, REPORTED",
        "33, 40, 9, OBSERVED",
        "4, 8, 12, REPORTED",
        "4, 8, 12, OBSERVED",
        "33, 40, 12, REPORTED",
        "33, 40, 12, OBSERVED",
    })
    void shouldServeNearlyAsManyInTimeAsWithTrueSpeedsAndLoads(
            int routers, int replicas, double rate, Knowledge knowledge) {
        var oracle = new Run(routers, replicas, rate, Knowledge.ORACLE, 1);
        var run = new Run(routers, replicas, rate, knowledge, 1);
        assertThat(run.inTime(), greaterThanOrEqualTo(0.95 * oracle.inTime()));
        assertThat(run.beyondBound(), lessThanOrEqualTo(0.03));
    }

    @ParameterizedTest
    @CsvSource({"4, 8, REPORTED", "4, 8, OBSERVED", "33, 40, REPORTED", "33, 40, OBSERVED"})
    void shouldServeMoreInTimeThanWithoutSpeeds(int routers, int replicas, Knowledge knowledge) {
        var run = new Run(routers, replicas, 9, knowledge, 1);
        var without = new Run(routers, replicas, 9, Knowledge.NONE, 1);
        assertThat(run.inTime(), greaterThan(without.inTime()));
        assertThat(run.sentToSlow(), lessThan(without.sentToSlow()));
    }
}
