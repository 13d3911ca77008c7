package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;

/**
 * How many requests each replica holds, as far as this node can tell.
 *
 * <p>What this node has sent is known at once; what others have sent is what the replica last told
 * beyond that, and is believed for a short time, or until the replica has answered this node. Not
 * safe for use by several threads.
 */
public final class ReplicaLoads {
    /** A replica's word on the load of others is old after this. */
    private static final Duration REPORT_EXPIRY = Duration.ofSeconds(3);

    /** About the time in which a full service gets room again. */
    private static final Duration REFUSAL_BACKOFF = Duration.ofMillis(250);

    /** More than any replica holds. */
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

    /** Returns loads of which nothing is known. */
    public static ReplicaLoads create() {
        return new ReplicaLoads();
    }

    /** Notes how many nodes there are that send to the same replicas, with this one. */
    public void onNodes(int nodes) {
        mNodeCount = nodes;
    }

    /** Notes a request that was sent. */
    public void onSent(NodeId replica) {
        load(replica).mOwnInFlight++;
    }

    /** Notes the end of a request that was sent. */
    public void onEnded(NodeId replica) {
        Load load = load(replica);
        load.mOwnInFlight = Math.max(0, load.mOwnInFlight - 1);
    }

    /** Takes in how many requests the replica says that it holds. */
    public void onReport(NodeId replica, int reported, long nowNanos) {
        Load load = load(replica);
        load.mOthersAtReport = Math.max(0, reported - load.mOwnInFlight);
        load.mOwnAtReport = load.mOwnInFlight;
        load.mHasReport = true;
        load.mReportedAtNanos = nowNanos;
    }

    /** Notes that the replica had no room; for a short time it is asked last. */
    public void onRefused(NodeId replica, long nowNanos) {
        Load load = load(replica);
        load.mHasRefused = true;
        load.mPenaltyUntilNanos = nowNanos + REFUSAL_BACKOFF.toNanos();
    }

    /** Returns how many requests the replica holds. */
    public int placementLoad(NodeId replica, long nowNanos) {
        Load load = mLoads.get(replica);
        if (load == null) {
            return 0;
        }
        boolean full = load.mHasRefused && nowNanos - load.mPenaltyUntilNanos < 0;
        return inFlight(replica, nowNanos) + (full ? REFUSAL_PENALTY : 0);
    }

    /** Returns how many requests the replica holds, also while it is asked last. */
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
     * Returns how many requests the replicas hold for each of their slots, by their own word and by
     * what this node has sent and seen ended since, as the others will have done; 0 where replicas
     * do not tell.
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
     * The other nodes choose alike, so while a replica owes this node more answers than when it
     * last told its load, it owes them as many more; one may be on its way in any case.
     */
    private int estimatedSentByOthers(Load load) {
        int more = load.mOwnInFlight - load.mOwnAtReport - 1;
        return Math.max(0, more) * (mNodeCount - 1);
    }

    /** Forgets replicas that hold nothing of this node and are not named. */
    public void retain(Set<NodeId> replicas) {
        mLoads.entrySet()
                .removeIf(e -> e.getValue().mOwnInFlight == 0 && !replicas.contains(e.getKey()));
    }

    private Load load(NodeId replica) {
        return mLoads.computeIfAbsent(replica, id -> new Load());
    }
}
