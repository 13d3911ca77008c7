package org.fescueport.internal.load.experiment;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.gossip.GossipPeers;
import org.fescueport.internal.decision.gossip.MeanEstimate;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Call;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Reply;

/** Error and bytes of the gossip of the mean, counted from encoded frames, by size of the pool. */
final class GossipExperiment implements Experiment {
    private static final int ROUNDS_PER_SECOND = 4;
    private static final int PEERS = 4;
    private static final double LEAK = 0.02;
    private static final int REQUEST_TOKENS = 225;
    private static final int MEAN_REQUESTS = 24;
    private static final int STREAM_SIZE = 40;
    private static final int WARM_UP_ROUNDS = 60 * ROUNDS_PER_SECOND;
    private static final double SCALE = 1_000;

    @Override
    public Report run(long seed, boolean quick) {
        var report = new Report("gossip", seed, quick).with("rounds_per_second", ROUNDS_PER_SECOND);
        int rounds = (quick ? 60 : 600) * ROUNDS_PER_SECOND;
        for (int replicas : new int[] {6, 8, 50, 200, 1_200}) {
            new Pool(replicas, 0, seed).run(rounds, report.row(replicas + " replicas"));
            var row = report.row(replicas + " replicas, 10% lost");
            new Pool(replicas, 0.1, seed).run(rounds, row);
        }
        Object bytes = report.figure("1200 replicas", "with_ip_and_tcp");
        return report.with("control_bytes_per_second_per_node", bytes);
    }

    /** Agents with loads that come and go as requests do. */
    private static final class Pool {
        private final Random mRandom;
        private final double mLossShare;
        private final MeanEstimate[] mEstimates;
        private final GossipPeers[] mPeers;
        private final double[] mLoads;
        private final ReplicaSet mSet;
        private final Histogram mErrors = new Histogram(3);
        private long mBytes;
        private long mFrames;
        private long mSlowestNodeFrames;
        private final long[] mNodeFrames;

        Pool(int replicas, double lossShare, long seed) {
            mRandom = new Random(seed);
            mLossShare = lossShare;
            mEstimates = new MeanEstimate[replicas];
            mPeers = new GossipPeers[replicas];
            mLoads = new double[replicas];
            mNodeFrames = new long[replicas];
            List<Replica> all = new ArrayList<>();
            for (int i = 0; i < replicas; i++) {
                all.add(Replica.of(NodeId.of("vm" + i), FailureDomain.of("fd" + i % 6), ""));
            }
            mSet = ReplicaSet.of(Fleet.POOL, all);
            for (int i = 0; i < replicas; i++) {
                mEstimates[i] = MeanEstimate.create(LEAK, replicas);
                mPeers[i] = GossipPeers.of(mSet, all.get(i).node(), PEERS);
            }
        }

        void run(int rounds, java.util.Map<String, Object> row) {
            for (int round = 0; round < WARM_UP_ROUNDS + rounds; round++) {
                for (int i = 0; i < mLoads.length; i++) {
                    changeLoad(i);
                    exchange(i, round);
                }
                if (round >= WARM_UP_ROUNDS) {
                    sample();
                }
            }
            double seconds = (WARM_UP_ROUNDS + rounds) / (double) ROUNDS_PER_SECOND;
            for (long frames : mNodeFrames) {
                mSlowestNodeFrames = Math.max(mSlowestNodeFrames, frames);
            }
            double perNode = mBytes / seconds / mLoads.length;
            row.put("bytes_per_s_per_node", perNode);
            row.put("with_ip_and_tcp", perNode + mFrames * STREAM_SIZE / seconds / mLoads.length);
            row.put("busiest_over_mean", mSlowestNodeFrames * mLoads.length / (double) mFrames);
            row.put("error_p50", mErrors.getValueAtPercentile(50) / SCALE);
            row.put("error_p99", mErrors.getValueAtPercentile(99) / SCALE);
        }

        /** Requests arrive and end so that each replica has the same number on average. */
        private void changeLoad(int i) {
            double perRound = MEAN_REQUESTS / (6.75 * ROUNDS_PER_SECOND);
            int running = (int) (mLoads[i] / REQUEST_TOKENS);
            double ends = running * perRound / MEAN_REQUESTS;
            mLoads[i] += REQUEST_TOKENS * (draw(perRound) - Math.min(running, draw(ends)));
        }

        private int draw(double mean) {
            int count = 0;
            for (double left = mean; left > 0; left -= 1) {
                count += mRandom.nextDouble() < Math.min(1, left) ? 1 : 0;
            }
            return count;
        }

        private void exchange(int i, int round) {
            mEstimates[i].beginRound(mLoads[i]);
            int peer = mSet.indexOf(mPeers[i].next().node());
            double told = mEstimates[i].estimateToSend();
            count(i, peer, call(round, told));
            if (mRandom.nextDouble() < mLossShare) {
                return;
            }
            double answer = mEstimates[peer].respond(told);
            count(i, peer, reply(round, answer));
            if (mRandom.nextDouble() >= mLossShare) {
                mEstimates[i].onReply(told, answer);
            }
        }

        /** A frame is sent by one node and received by the other; both count it. */
        private void count(int one, int other, Frame frame) {
            int size = frame.getSerializedSize();
            mBytes += 2L * (size + CodedOutputStream.computeUInt32SizeNoTag(size));
            mFrames += 2;
            mNodeFrames[one]++;
            mNodeFrames[other]++;
        }

        private static Frame call(long id, double value) {
            var call = Call.newBuilder().setId(id).setMethod(PeerCalls.MEAN).setPayload(of(value));
            return Frame.newBuilder().setCall(call).build();
        }

        private static Frame reply(long id, double value) {
            var reply = Reply.newBuilder().setId(id).setPayload(of(value));
            return Frame.newBuilder().setReply(reply).build();
        }

        private static ByteString of(double value) {
            return ByteString.copyFrom(ByteBuffer.allocate(Double.BYTES).putDouble(value).flip());
        }

        private void sample() {
            double mean = 0;
            for (double load : mLoads) {
                mean += load / mLoads.length;
            }
            for (var estimate : mEstimates) {
                double error = Math.abs(estimate.poolMean() - mean) / Math.max(1, mean);
                mErrors.recordValue((long) (error * SCALE));
            }
        }
    }
}
