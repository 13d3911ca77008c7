package org.fescueport.internal.load.bench;

import java.util.ArrayList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.LoadBound;
import org.fescueport.internal.decision.placement.LoadEstimator;
import org.fescueport.internal.decision.placement.LoadReport;
import org.fescueport.internal.decision.placement.Placement;
import org.fescueport.internal.decision.placement.PlacementRequest;
import org.fescueport.internal.decision.placement.PlacementResult;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time and allocation of one placement decision against the number of replicas. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PlacementBenchmark {
    private static final TeamId TEAM = TeamId.of("garage");
    private static final LoadBound BOUND = LoadBound.of(1.25, 1_000);
    private static final int CHATS = 1_024;
    private static final long NOW_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final long REQUEST_TOKENS = 400;
    private static final long MEAN_TOKENS = 4_000;

    @Param({"8", "120", "1200"})
    public int mReplicas;

    /** Share of replicas, in per cent, that are known to be above their bound. */
    @Param({"0", "20"})
    public int mBusyPercent;

    private final Placement mPlacement = Placement.create(FailureDomain.of("fd1"));
    private final LoadEstimator mLoads = LoadEstimator.create(10_000);
    private final PlacementRequest[] mRequests = new PlacementRequest[CHATS];
    private ReplicaSet mSet;
    private int mNext;

    /** Makes the replicas and chats. */
    @Setup
    public void setUp() {
        var replicas = new ArrayList<Replica>();
        for (int i = 0; i < mReplicas; i++) {
            var domain = FailureDomain.of("fd" + i % 6);
            var node = NodeId.of("vm-" + i);
            replicas.add(new Replica(node, domain, "10.0.0.1:1", 1 + i % 3, 1));
            long load = i % 100 < mBusyPercent ? 2 * MEAN_TOKENS : MEAN_TOKENS / 2;
            mLoads.onReport(node, new LoadReport(load, MEAN_TOKENS, 300), 0, NOW_NANOS);
        }
        mSet = ReplicaSet.of(PoolId.of("basin"), replicas);
        for (int i = 0; i < CHATS; i++) {
            var affinity = Affinity.ofChat(TEAM, ChatId.of("chat-" + i));
            mRequests[i] =
                    PlacementRequest.forExistingChat(affinity, Optional.empty(), REQUEST_TOKENS);
        }
    }

    /** One decision for a returning chat that brings no ticket, the dearest kind. */
    @Benchmark
    public PlacementResult chooseByHash() {
        var request = mRequests[mNext++ & (CHATS - 1)];
        return mPlacement.choose(mSet, request, BOUND, mLoads, ReplicaFilter.ALL, NOW_NANOS);
    }
}
