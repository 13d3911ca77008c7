package org.fescueport.internal.decision.ejection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.decision.placement.Replicas;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class OutlierEjectionTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ReplicaSet mSet = Replicas.set(12);
    private final OutlierEjection mEjection =
            OutlierEjection.create(EjectionSettings.defaults(), mSet);

    /** The same replicas in one failure domain, which is never ejected as a whole. */
    private final ReplicaSet mOneDomain =
            ReplicaSet.of(
                    Replicas.POOL,
                    mSet.replicas().stream()
                            .map(r -> Replica.of(r.node(), FailureDomain.of("fd"), r.address()))
                            .toList());

    private void fail(NodeId node, long now) {
        for (int i = 0; i < 3; i++) {
            mEjection.onFailure(node, now);
        }
    }

    private double share(NodeId node, long now) {
        var random = new Random(5);
        Replica replica = mSet.replica(mSet.indexOf(node));
        int allowed = 0;
        for (int i = 0; i < 4_000; i++) {
            allowed += mEjection.filter(random.nextLong(), now).allows(replica) ? 1 : 0;
        }
        return allowed / 4_000.0;
    }

    @Test
    void shouldRampUpTrafficAfterAnEjection() {
        var node = NodeId.of("r1");
        fail(node, 0);
        assertThat(share(node, 4 * SECOND), is(0.0));
        assertThat(share(node, 6 * SECOND), closeTo(0.05, 0.02));
        assertThat(share(node, 15 * SECOND), closeTo(0.5, 0.03));
        mEjection.onSuccess(node, 15 * SECOND);
        assertThat(share(node, 15 * SECOND), closeTo(0.5, 0.03));
        mEjection.onSuccess(node, 26 * SECOND);
        assertThat(share(node, 26 * SECOND), is(1.0));
    }

    @Test
    void shouldTreatAReplicaAtANewAddressAsHealthy() {
        var node = NodeId.of("r1");
        fail(node, 0);
        var replaced = new ArrayList<>(mSet.replicas());
        var old = mSet.replica(mSet.indexOf(node));
        replaced.set(mSet.indexOf(node), Replica.of(node, old.domain(), "elsewhere:1"));
        mEjection.onReplicas(ReplicaSet.of(Replicas.POOL, replaced));
        assertThat(share(node, SECOND), is(1.0));
    }

    @Test
    void shouldEjectForLongerEachTime() {
        var node = NodeId.of("r1");
        fail(node, 0);
        mEjection.onFailure(node, 6 * SECOND);
        assertThat(share(node, 15 * SECOND), is(0.0));
    }

    @Test
    void shouldEjectAtMostTheMaximumShare() {
        for (int i = 0; i < 12; i += 3) {
            mEjection.onFailure(NodeId.of("r" + i), 0);
        }
        fail(NodeId.of("r1"), 0);
        fail(NodeId.of("r2"), 0);
        fail(NodeId.of("r4"), 0);
        fail(NodeId.of("r5"), 0);
        assertThat(mEjection.ejected(0), is(3));
    }

    @Test
    void shouldEjectALostFailureDomainAsAWhole() {
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 12; i += 3) {
                mEjection.onFailure(NodeId.of("r" + i), round);
            }
        }
        fail(NodeId.of("r1"), 3);
        assertThat(mEjection.ejected(4), is(5));
        for (int i = 0; i < 12; i++) {
            fail(NodeId.of("r" + i), 5);
        }
        assertThat(mEjection.ejected(6), lessThanOrEqualTo(4 + 3));
    }

    @Test
    void shouldResetFailuresOnSuccess() {
        var node = NodeId.of("r1");
        mEjection.onFailure(node, 0);
        mEjection.onFailure(node, 0);
        mEjection.onSuccess(node, 0);
        mEjection.onFailure(node, 0);
        assertThat(share(node, 0), is(1.0));
    }

    private void failOnce(long now, String... nodes) {
        for (String node : nodes) {
            mEjection.onFailure(NodeId.of(node), now);
        }
    }

    @Test
    void shouldEjectADomainByOneFailureAtEachOfSeveralReplicas() {
        failOnce(0, "r0", "r3");
        mEjection.onSuccess(NodeId.of("r1"), 1);
        failOnce(1, "r6");
        assertThat(share(NodeId.of("r9"), 2), is(0.0));
        assertThat(share(NodeId.of("r1"), 2), is(1.0));
        assertThat(mEjection.ejected(2), is(4));
    }

    @Test
    void shouldNotEjectADomainForASingleFailingReplica() {
        for (int i = 0; i < 20; i++) {
            failOnce(i, "r0");
            mEjection.onSuccess(NodeId.of("r1"), i);
        }
        assertThat(mEjection.ejected(20), is(1));
        assertThat(share(NodeId.of("r3"), 20), is(1.0));
    }

    @Test
    void shouldNotEjectADomainThatAnswersBetweenFailures() {
        failOnce(0, "r0", "r3");
        mEjection.onSuccess(NodeId.of("r9"), 0);
        mEjection.onSuccess(NodeId.of("r1"), 0);
        failOnce(0, "r6", "r0");
        assertThat(mEjection.ejected(1), is(0));
    }

    @Test
    void shouldNotEjectADomainWhenNoOtherDomainAnswers() {
        mEjection.onSuccess(NodeId.of("r1"), 0);
        failOnce(1, "r0", "r3", "r6", "r9");
        assertThat(mEjection.ejected(2), is(0));
    }

    @Test
    void shouldRampUpTrafficToARecoveredDomain() {
        var node = NodeId.of("r9");
        failOnce(0, "r0", "r3");
        mEjection.onSuccess(NodeId.of("r1"), 0);
        failOnce(0, "r6");
        assertThat(share(node, 4 * SECOND), is(0.0));
        assertThat(share(node, 6 * SECOND), closeTo(0.05, 0.02));
        assertThat(share(node, 15 * SECOND), closeTo(0.5, 0.03));
        mEjection.onSuccess(node, 15 * SECOND);
        failOnce(15 * SECOND, "r9");
        mEjection.onSuccess(NodeId.of("r1"), 15 * SECOND);
        assertThat(share(NodeId.of("r0"), 15 * SECOND), closeTo(0.5, 0.03));
        failOnce(15 * SECOND, "r3");
        assertThat(share(NodeId.of("r0"), 24 * SECOND), is(0.0));
        assertThat(share(NodeId.of("r0"), 26 * SECOND), closeTo(0.05, 0.02));
        mEjection.onSuccess(NodeId.of("r0"), 46 * SECOND);
        assertThat(share(NodeId.of("r0"), 46 * SECOND), is(1.0));
    }

    @Test
    void shouldEjectAReplicaThatOtherRoutersReport() {
        var node = NodeId.of("r1");
        mEjection.onFailure(node, 0);
        mEjection.onReportedLosses(node, 2, 0);
        assertThat(share(node, SECOND), is(1.0));
        mEjection.onReportedLosses(node, 2, 0);
        assertThat(share(node, SECOND), is(0.0));
    }

    @Test
    void shouldNotEjectAReportedReplicaThatAnswersHere() {
        var node = NodeId.of("r1");
        for (int i = 0; i < 10; i++) {
            mEjection.onReportedLosses(node, 4, i * SECOND);
            mEjection.onSuccess(node, i * SECOND);
        }
        assertThat(share(node, 10 * SECOND), is(1.0));
    }

    @Test
    void shouldIgnoreReportsAboutManyReplicasAtOnce() {
        for (int round = 0; round < 3; round++) {
            for (var replica : mSet.replicas()) {
                mEjection.onReportedLosses(replica.node(), 1, SECOND);
            }
        }
        assertThat(mEjection.ejected(SECOND), is(lessThanOrEqualTo(3)));
    }

    @Test
    void shouldForgetReportsOfLongAgo() {
        var node = NodeId.of("r1");
        for (int i = 0; i < 20; i++) {
            mEjection.onReportedLosses(node, 2, i * 200 * SECOND);
        }
        assertThat(share(node, 20 * 200 * SECOND), is(1.0));
    }

    /**
     * Sends requests in turn, of which each replica fails its share, and returns who is ejected.
     */
    private List<NodeId> ejectedAfter(OutlierEjection ejection, ToDoubleFunction<NodeId> failing) {
        var random = new Random(3);
        Set<NodeId> ejected = new HashSet<>();
        for (int i = 0; i < 6_000; i++) {
            long now = i * SECOND / 200;
            var node = mOneDomain.replica(i % mOneDomain.size()).node();
            if (!ejection.filter(random.nextLong(), now)
                    .allows(mOneDomain.replica(i % mOneDomain.size()))) {
                ejected.add(node);
            } else if (random.nextDouble() < failing.applyAsDouble(node)) {
                ejection.onFailure(node, now);
            } else {
                ejection.onSuccess(node, now);
            }
        }
        return ejected.stream().sorted(Comparator.comparing(NodeId::name)).toList();
    }

    /** Returns one that ejects for shares of failures only, or for nothing at all. */
    private OutlierEjection judgingShares(boolean judges) {
        var settings =
                new EjectionSettings(
                        1_000_000,
                        1_000_000,
                        0.4,
                        Duration.ofMillis(1_200),
                        Duration.ofSeconds(8),
                        Duration.ofSeconds(2));
        return OutlierEjection.create(settings, mOneDomain, () -> judges);
    }

    @ParameterizedTest
    @CsvSource({"0.40, 0", "0.45, 0.02", "0.50, 0.14"})
    void shouldEjectTheReplicaThatFailsFarMoreOftenThanTheOthers(double bad, double usual) {
        var faulty = NodeId.of("r4");
        assertThat(
                ejectedAfter(judgingShares(true), node -> node.equals(faulty) ? bad : usual),
                is(List.of(faulty)));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.14, 0.45, 0.9})
    void shouldEjectNoReplicaForAShareOfFailuresThatAllHave(double usual) {
        assertThat(ejectedAfter(judgingShares(true), node -> usual), is(List.of()));
    }

    @Test
    void shouldSendLittleToAReplicaThatGoesOnFailing() {
        var ejection = judgingShares(true);
        var faulty = NodeId.of("r4");
        var random = new Random(3);
        int sent = 0;
        for (int i = 0; i < 24_000; i++) {
            long now = i * SECOND / 200;
            var replica = mOneDomain.replica(i % mOneDomain.size());
            if (!ejection.filter(random.nextLong(), now).allows(replica)) {
                continue;
            }
            sent += replica.node().equals(faulty) ? 1 : 0;
            if (replica.node().equals(faulty) && random.nextDouble() < 0.45) {
                ejection.onFailure(replica.node(), now);
            } else {
                ejection.onSuccess(replica.node(), now);
            }
        }
        assertThat(sent, lessThan(24_000 / mOneDomain.size() / 3));
    }

    @Test
    void shouldSendAllTrafficAgainToAReplicaThatFailsNoLonger() {
        var ejection = judgingShares(true);
        ejectedAfter(ejection, node -> node.equals(NodeId.of("r4")) ? 0.5 : 0);
        var replica = mOneDomain.replica(mOneDomain.indexOf(NodeId.of("r4")));
        for (int i = 0; i < 2_000; i++) {
            ejection.onSuccess(replica.node(), 30 * SECOND + i * SECOND / 100);
        }
        long now = 50 * SECOND;
        assertThat(ejection.filter(-1, now).allows(replica), is(true));
        assertThat(ejection.ejected(now), is(0));
    }

    @Test
    void shouldNotJudgeSharesUnlessAsked() {
        assertThat(
                ejectedAfter(judgingShares(false), node -> node.equals(NodeId.of("r4")) ? 0.5 : 0),
                is(List.of()));
    }
}
