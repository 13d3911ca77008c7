package org.fescueport.internal.decision.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.Random;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replicas;
import org.junit.jupiter.api.Test;

class MeanEstimateTest {
    private static final int NODES = 60;
    private static final double LEAK = 0.02;

    private final Random mRandom = new Random(7);
    private final MeanEstimate[] mEstimates = new MeanEstimate[NODES];
    private final double[] mLoads = new double[NODES];

    private void start() {
        for (int i = 0; i < NODES; i++) {
            mEstimates[i] = MeanEstimate.create(LEAK, NODES);
        }
        rounds(5, 0);
        for (int i = 0; i < NODES; i++) {
            mLoads[i] = 2_000.0 * i / (NODES - 1);
        }
    }

    private void rounds(int count, double lossShare) {
        for (int round = 0; round < count; round++) {
            for (int i = 0; i < NODES; i++) {
                mEstimates[i].beginRound(mLoads[i]);
                double sent = mEstimates[i].estimateToSend();
                double reply = mEstimates[mRandom.nextInt(NODES)].respond(sent);
                if (mRandom.nextDouble() >= lossShare) {
                    mEstimates[i].onReply(sent, reply);
                }
            }
        }
    }

    @Test
    void shouldConvergeToTheMean() {
        start();
        rounds(30, 0);
        for (var estimate : mEstimates) {
            assertThat(estimate.poolMean(), closeTo(1_000, 80));
        }
    }

    @Test
    void shouldRecoverAfterLostReplies() {
        start();
        rounds(30, 0.3);
        rounds(300, 0);
        for (var estimate : mEstimates) {
            assertThat(estimate.poolMean(), closeTo(1_000, 80));
        }
    }

    @Test
    void shouldFollowASurge() {
        start();
        rounds(30, 0);
        for (int i = 0; i < NODES; i++) {
            mLoads[i] += 1_000;
        }
        rounds(10, 0);
        assertThat(mEstimates[0].poolMean(), closeTo(2_000, 160));
    }

    @Test
    void shouldNotLowerTheMeanWhenAnAgentJoins() {
        start();
        rounds(30, 0);
        double before = mEstimates[1].poolMean();
        mEstimates[0] = MeanEstimate.create(LEAK, NODES);
        mEstimates[0].beginRound(0);
        assertThat(mEstimates[0].poolMean(), is(0.0));
        double sent = mEstimates[0].estimateToSend();
        mEstimates[0].onReply(sent, mEstimates[1].respond(sent));
        assertThat(mEstimates[0].poolMean(), closeTo(before, 80));
        assertThat(mEstimates[1].poolMean(), is(before));
    }

    @Test
    void shouldKeepMostPeersWhenOneLeaves() {
        var set = Replicas.set(50);
        var self = NodeId.of("r3");
        var before = GossipPeers.of(set, self, 4).all();
        assertThat(before, hasSize(4));
        var smaller = Replicas.without(set, before.get(1).node());
        var kept = GossipPeers.of(smaller, self, 4).all().stream().filter(before::contains);
        assertThat(kept.count(), greaterThan(2L));
        assertThat(GossipPeers.of(Replicas.set(1), NodeId.of("r0"), 4).next(), is(nullValue()));
    }
}
