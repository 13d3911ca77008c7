package org.fescueport.internal.load.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.List;
import java.util.Random;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.load.experiment.model.Call;
import org.fescueport.internal.load.experiment.model.EngineModel;
import org.fescueport.internal.load.experiment.model.ModelFleet;
import org.fescueport.internal.load.experiment.model.ModelTally;
import org.fescueport.internal.load.experiment.model.Placer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One team surges to twenty times its usual rate before a pool with room for half of what is asked,
 * with callers unevenly spread over the nodes.
 */
class FairSharesModelTest {
    private static final long SECOND = VirtualTime.SECOND;
    private static final long WARM = 6 * SECOND;
    private static final long SURGE = 14 * SECOND;
    private static final int TEAMS = 10;
    private static final int SURGE_FACTOR = 20;
    private static final double LEAST_KEPT = 0.95;
    private static final double LEAST_USED = 0.9;
    private static final double REQUESTS_PER_ENGINE = 15;
    private static final int SUBJECTS = 96;
    private static final long SPREAD = 0x9e3779b97f4a7c15L;

    /** What happens to the first node in the middle of the surge. */
    private enum Trouble {
        NONE,
        CUT_OFF,
        STARTS_ANEW
    }

    /** Requests of each team that were answered in time in the second half of the surge. */
    private static final class Run {
        private final VirtualTime mTime = new VirtualTime();
        private final Random mRandom;
        private final ModelFleet mFleet;
        private final int mNodes;
        private final double mTeamRate;
        private final boolean mSurges;
        private final long[] mArrived = new long[TEAMS];
        private final long[] mInTime = new long[TEAMS];
        private final long[] mInTimeElsewhere = new long[TEAMS];
        private final long[] mArrivedElsewhere = new long[TEAMS];
        private long mNextOwn = -1;

        Run(int nodes, int engines, boolean surges, Trouble trouble, long seed) {
            mNodes = nodes;
            mSurges = surges;
            mRandom = new Random(seed);
            double capacity = engines * REQUESTS_PER_ENGINE;
            mTeamRate = 2 * capacity / (TEAMS - 1 + SURGE_FACTOR);
            mFleet =
                    ModelFleet.create(
                            mTime,
                            mRandom,
                            new ModelTally(),
                            new ModelFleet.Plan(
                                    nodes,
                                    Placer::own,
                                    ModelFleet.Admission.STARTS,
                                    true,
                                    ModelKinds.ENGINE.slots(),
                                    engines,
                                    () -> EngineModel.create(ModelKinds.ENGINE, mTime)));
            for (int team = 0; team < TEAMS; team++) {
                arriveNext(team);
            }
            schedule(trouble);
            mTime.runUntil(WARM + SURGE + 2 * SECOND);
        }

        private void schedule(Trouble trouble) {
            long at = WARM + SURGE / 3;
            switch (trouble) {
                case NONE -> {}
                case CUT_OFF -> mTime.after(at, () -> mFleet.setCutOff(0, true));
                case STARTS_ANEW -> mTime.after(at, () -> mFleet.restart(0));
                default -> throw new IllegalStateException("trouble " + trouble);
            }
        }

        private void arriveNext(int team) {
            boolean surging = mSurges && team == 0 && mTime.now() >= WARM;
            double rate = mTeamRate * (surging ? SURGE_FACTOR : 1);
            long gap = (long) (-Math.log(1 - mRandom.nextDouble()) / rate * SECOND);
            if (mTime.now() + gap < WARM + SURGE) {
                mTime.after(
                        gap,
                        () -> {
                            arrive(team);
                            arriveNext(team);
                        });
            }
        }

        /** Two thirds of the callers of a team are connected to one node, the others to any. */
        private int node(int team) {
            return mRandom.nextInt(3) < 2 ? team % mNodes : mRandom.nextInt(mNodes);
        }

        private void arrive(int team) {
            var kind = ModelKinds.draw(ModelKinds.GENERATIONS, mRandom.nextDouble());
            long subject = (long) (kind.urgency() + 1) << 32 | mRandom.nextInt(SUBJECTS);
            var parts =
                    List.of(
                            new Call.Part(subject, kind.shared()),
                            new Call.Part(mNextOwn--, kind.own()));
            boolean counts = mTime.now() >= WARM + SURGE / 2;
            int node = node(team);
            mArrived[team] += counts ? 1 : 0;
            mArrivedElsewhere[team] += counts && node != 0 ? 1 : 0;
            var affinity = new Affinity(subject * SPREAD, true);
            mFleet.submit(
                    node,
                    kind.call(mTime.now(), parts),
                    affinity,
                    TeamId.of("team-" + team),
                    new ModelFleet.Caller() {
                        @Override
                        public void onFirst(Call call) {
                            int inTime = counts && call.isInAim(mTime.now()) ? 1 : 0;
                            mInTime[team] += inTime;
                            mInTimeElsewhere[team] += node != 0 ? inTime : 0;
                        }
                    });
        }

        double inTime(int team) {
            return mInTime[team] / (double) mArrived[team];
        }

        double inTimeElsewhere() {
            long inTime = 0;
            long arrived = 0;
            for (int team = 1; team < TEAMS; team++) {
                inTime += mInTimeElsewhere[team];
                arrived += mArrivedElsewhere[team];
            }
            return inTime / (double) arrived;
        }

        double perSecond() {
            long all = 0;
            for (long team : mInTime) {
                all += team;
            }
            return all * SECOND / (SURGE / 2.0);
        }
    }

    @ParameterizedTest
    @CsvSource({"4, 8", "33, 40"})
    void shouldKeepWhatTeamsGetThatAskForLessThanTheirShare(int nodes, int engines) {
        var calm = new Run(nodes, engines, false, Trouble.NONE, 1);
        var surge = new Run(nodes, engines, true, Trouble.NONE, 1);
        for (int team = 1; team < TEAMS; team++) {
            assertThat(
                    "team " + team,
                    surge.inTime(team),
                    greaterThanOrEqualTo(LEAST_KEPT * calm.inTime(team)));
        }
    }

    @ParameterizedTest
    @CsvSource({"4, 8", "33, 40"})
    void shouldLeaveNoCapacityIdleInTheSurge(int nodes, int engines) {
        var surge = new Run(nodes, engines, true, Trouble.NONE, 1);
        assertThat(
                surge.perSecond(),
                greaterThanOrEqualTo(LEAST_USED * engines * REQUESTS_PER_ENGINE));
    }

    /** Callers of the other nodes lose nothing by a node that knows nothing of the fleet. */
    @ParameterizedTest
    @CsvSource({"4, 8, CUT_OFF", "33, 40, CUT_OFF", "4, 8, STARTS_ANEW", "33, 40, STARTS_ANEW"})
    void shouldKeepWhatOtherNodesGetWhileOneIsInTrouble(int nodes, int engines, Trouble trouble) {
        var calm = new Run(nodes, engines, false, Trouble.NONE, 1);
        var surge = new Run(nodes, engines, true, trouble, 1);
        assertThat(
                surge.inTimeElsewhere(), greaterThanOrEqualTo(LEAST_KEPT * calm.inTimeElsewhere()));
    }
}
