package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.reconcile.ObservedReplica;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.ReplicaReport;
import org.fescueport.internal.wire.generated.Reply;

/**
 * What the replicas of some pools serve, asked of a few of them in each round so that the bytes per
 * second stay the same in a fleet of any size. Runs on one executor thread.
 */
final class ReplicaReports {
    private static final int ASKED_PER_ROUND = 8;

    /** Rounds in each of which a replica is asked that was ordered to load. */
    private static final int WATCHED_ROUNDS = 60;

    /** Rounds without a report, besides those between two askings, until a replica is lost. */
    private static final int LOST_ROUNDS = 5;

    private record Heard(ReplicaReport report, long round) {}

    private final Membership mMembership;
    private final AgentConnections mConnections;
    private final Executor mExecutor;
    private final Map<NodeId, Heard> mHeard = new HashMap<>();
    private final Map<NodeId, Long> mWatchedUntilRound = new HashMap<>();
    private long mRound;
    private int mNext;
    private boolean mHasAskedAll;

    private ReplicaReports(Membership membership, AgentConnections connections, Executor executor) {
        mMembership = membership;
        mConnections = connections;
        mExecutor = executor;
    }

    static ReplicaReports create(
            Membership membership, AgentConnections connections, Executor executor) {
        return new ReplicaReports(membership, connections, executor);
    }

    /** Asks this replica in each of the next rounds, since it was ordered to load. */
    void watch(NodeId node) {
        mWatchedUntilRound.put(node, mRound + WATCHED_ROUNDS);
    }

    /** Asks those that were ordered to load, and the next few others. */
    void ask(List<PoolId> pools) {
        mRound++;
        var listed = listed(pools);
        mHeard.keySet().retainAll(listed.stream().map(replica -> replica.node()).toList());
        mWatchedUntilRound.values().removeIf(until -> until < mRound);
        listed.stream()
                .filter(replica -> mWatchedUntilRound.containsKey(replica.node()))
                .forEach(this::ask);
        for (int i = 0; i < Math.min(ASKED_PER_ROUND, listed.size()); i++) {
            if (mNext >= listed.size()) {
                mNext = 0;
                mHasAskedAll = true;
            }
            ask(listed.get(mNext++));
        }
    }

    /** Returns the replicas that have reported lately; nothing before all were asked. */
    Optional<List<ObservedReplica>> seen(List<PoolId> pools) {
        if (!mHasAskedAll) {
            return Optional.empty();
        }
        var seen = new ArrayList<ObservedReplica>();
        for (var pool : pools) {
            var listed = mMembership.listed(pool);
            long latest = mRound - LOST_ROUNDS - 2L * (mHeard.size() / ASKED_PER_ROUND);
            for (var replica : listed) {
                var heard = mHeard.get(replica.node());
                if (heard != null && heard.round() >= latest) {
                    stateOf(heard.report())
                            .ifPresent(state -> seen.add(replica(replica, pool, state, heard)));
                }
            }
        }
        return Optional.of(seen);
    }

    private List<org.fescueport.internal.decision.placement.Replica> listed(List<PoolId> pools) {
        return pools.stream()
                .flatMap(pool -> mMembership.listed(pool).stream())
                .sorted(Comparator.comparing(replica -> replica.node().name()))
                .toList();
    }

    private void ask(org.fescueport.internal.decision.placement.Replica replica) {
        mConnections
                .to(replica)
                .thenCompose(link -> link.call(PeerCalls.REPLICA, ByteString.EMPTY))
                .thenAcceptAsync(reply -> onReply(replica.node(), reply), mExecutor);
    }

    private void onReply(NodeId node, Reply reply) {
        try {
            var report = ReplicaReport.parseFrom(reply.getPayload());
            mHeard.put(node, new Heard(report, mRound));
        } catch (InvalidProtocolBufferException e) {
            // Counts as no report.
            mHeard.remove(node);
        }
    }

    private static Optional<ObservedReplica.State> stateOf(ReplicaReport report) {
        return switch (report.getActivity()) {
            case REPLICA_READY -> Optional.of(ObservedReplica.State.READY);
            case REPLICA_LOADING -> Optional.of(ObservedReplica.State.LOADING);
            case REPLICA_EMPTY -> Optional.of(ObservedReplica.State.EMPTY);
            case REPLICA_DOWN, UNRECOGNIZED -> Optional.empty();
        };
    }

    private static ObservedReplica replica(
            org.fescueport.internal.decision.placement.Replica replica,
            PoolId pool,
            ObservedReplica.State state,
            Heard heard) {
        return new ObservedReplica(
                replica.node(), replica.domain(), pool, state, heard.report().getArtifact());
    }
}
