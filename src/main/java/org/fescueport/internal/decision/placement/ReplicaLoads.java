package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;

/**
 * Tracks the number of requests in flight at each replica, as far as this node knows it.
 *
 * <p>The node counts its own requests exactly. The number of requests from other nodes is the
 * number that the replica last reported, less the node's own at that time. It is used for a short
 * time after the report, and also for as long as this node waits for a response of the replica.
 * This class is not thread-safe.
 */
public final class ReplicaLoads {
    /** Age after which a report no longer counts, unless this node has requests in flight there. */
    private static final Duration REPORT_EXPIRY = Duration.ofSeconds(3);

    /** Approximate time in which a fully loaded replica gets free capacity again. */
    private static final Duration REFUSAL_BACKOFF = Duration.ofMillis(250);

    /** Number of requests, larger than any replica has in flight, that is added after a refusal. */
    private static final int REFUSAL_PENALTY = 1_000_000;

    private static final class Load {
        private int mOwnInFlight;
        private int mOwnAtReport;
        private int mOthersAtReport;
        private long mReportedAtNanos;
        private long mPenaltyUntilNanos;
        private boolean mHasRefused;
        private boolean mHasReport;
    }

    private final Map<NodeId, Load> mLoads = new HashMap<>();
    private int mNodeCount = 1;

    private ReplicaLoads() {}

    /** Returns a tracker without any requests or reports. */
    public static ReplicaLoads create() {
        return new ReplicaLoads();
    }

    /** Sets the number of nodes that send requests to the same replicas, including this one. */
    public void onNodes(int nodes) {
        mNodeCount = nodes;
    }

    /** Records that this node has sent a request to the replica. */
    public void onSent(NodeId replica) {
        load(replica).mOwnInFlight++;
    }

    /** Records that a request which this node had sent has ended. */
    public void onEnded(NodeId replica) {
        Load load = load(replica);
        load.mOwnInFlight = Math.max(0, load.mOwnInFlight - 1);
    }

    /**
     * Records a load report of a replica.
     *
     * @param reported requests that the replica has in flight, from all nodes together
     */
    public void onReport(NodeId replica, int reported, long nowNanos) {
        Load load = load(replica);
        load.mOthersAtReport = Math.max(0, reported - load.mOwnInFlight);
        load.mOwnAtReport = load.mOwnInFlight;
        load.mHasReport = true;
        load.mReportedAtNanos = nowNanos;
    }

    /** Records that the replica had no capacity; for a short time it is chosen last. */
    public void onRefused(NodeId replica, long nowNanos) {
        Load load = load(replica);
        load.mHasRefused = true;
        load.mPenaltyUntilNanos = nowNanos + REFUSAL_BACKOFF.toNanos();
    }

    /**
     * Returns the load by which replicas are compared: the requests in flight, plus a large penalty
     * for a short time after a refusal.
     */
    public int placementLoad(NodeId replica, long nowNanos) {
        Load load = mLoads.get(replica);
        if (load == null) {
            return 0;
        }
        boolean full = load.mHasRefused && nowNanos - load.mPenaltyUntilNanos < 0;
        return inFlight(replica, nowNanos) + (full ? REFUSAL_PENALTY : 0);
    }

    /** Returns the estimated number of requests in flight, without the penalty for a refusal. */
    public int inFlight(NodeId replica, long nowNanos) {
        Load load = mLoads.get(replica);
        if (load == null) {
            return 0;
        }
        return load.mOwnInFlight
                + (isReportExpired(load, nowNanos)
                        ? 0
                        : load.mOthersAtReport + estimatedSentByOthers(load));
    }

    /**
     * Returns the requests in flight per slot of the replicas; 0 if no replica reports its load.
     * The number is the replicas' last reports, adjusted by the change in this node's own requests
     * since then, on the assumption that each other node's requests have changed by as much.
     */
    public double occupancy(ReplicaSet set, long nowNanos) {
        double total = 0;
        double slots = 0;
        boolean anyReport = false;
        for (var replica : set.replicas()) {
            slots += replica.weight();
            Load load = mLoads.get(replica.node());
            if (load != null) {
                anyReport |= load.mHasReport;
                total += projectedInFlight(load, nowNanos);
            }
        }
        return anyReport ? Math.max(0, total) / Math.max(1, slots) : 0;
    }

    private double projectedInFlight(Load load, long nowNanos) {
        if (isReportExpired(load, nowNanos)) {
            return 0;
        }
        double ownChange = load.mOwnInFlight - load.mOwnAtReport;
        return load.mOwnAtReport + load.mOthersAtReport + ownChange * mNodeCount;
    }

    private static boolean isReportExpired(Load load, long nowNanos) {
        return load.mOwnInFlight == 0 && nowNanos - load.mReportedAtNanos > REPORT_EXPIRY.toNanos();
    }

    /**
     * Returns how many requests the other nodes have presumably sent since the last report. All
     * nodes choose in the same way, so if this node has more requests in flight at a replica than
     * at the last report, each other node has as many more. One additional request is not counted,
     * since it may be in flight in any case.
     */
    private int estimatedSentByOthers(Load load) {
        int more = load.mOwnInFlight - load.mOwnAtReport - 1;
        return Math.max(0, more) * (mNodeCount - 1);
    }

    /** Removes the replicas that are not in the set and have no request of this node in flight. */
    public void retain(Set<NodeId> replicas) {
        mLoads.entrySet()
                .removeIf(e -> e.getValue().mOwnInFlight == 0 && !replicas.contains(e.getKey()));
    }

    private Load load(NodeId replica) {
        return mLoads.computeIfAbsent(replica, id -> new Load());
    }
}
