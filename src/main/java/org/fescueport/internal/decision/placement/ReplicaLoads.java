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
    private static final Duration REPORT_AGE = Duration.ofSeconds(3);

    /** About the time in which a full service gets room again. */
    private static final Duration FULL_TIME = Duration.ofMillis(250);

    /** More than any replica holds. */
    private static final int FULL = 1_000_000;

    private static final class Load {
        private int mOwn;
        private int mOwnWhenTold;
        private int mOthers;
        private long mToldAtNanos;
        private long mFullUntilNanos;
        private boolean mFull;
        private boolean mTold;
    }

    private final Map<NodeId, Load> mLoads = new HashMap<>();
    private int mNodes = 1;

    private ReplicaLoads() {}

    /** Returns loads of which nothing is known. */
    public static ReplicaLoads create() {
        return new ReplicaLoads();
    }

    /** Notes how many nodes there are that send to the same replicas, with this one. */
    public void onNodes(int nodes) {
        mNodes = nodes;
    }

    /** Notes a request that was sent. */
    public void onSent(NodeId replica) {
        load(replica).mOwn++;
    }

    /** Notes the end of a request that was sent. */
    public void onEnded(NodeId replica) {
        Load load = load(replica);
        load.mOwn = Math.max(0, load.mOwn - 1);
    }

    /** Takes in how many requests the replica says that it holds. */
    public void onTold(NodeId replica, int held, long nowNanos) {
        Load load = load(replica);
        load.mOthers = Math.max(0, held - load.mOwn);
        load.mOwnWhenTold = load.mOwn;
        load.mTold = true;
        load.mToldAtNanos = nowNanos;
    }

    /** Notes that the replica had no room; for a short time it is asked last. */
    public void onRefused(NodeId replica, long nowNanos) {
        Load load = load(replica);
        load.mFull = true;
        load.mFullUntilNanos = nowNanos + FULL_TIME.toNanos();
    }

    /** Returns how many requests the replica holds. */
    public int held(NodeId replica, long nowNanos) {
        Load load = mLoads.get(replica);
        if (load == null) {
            return 0;
        }
        boolean full = load.mFull && nowNanos - load.mFullUntilNanos < 0;
        return counted(replica, nowNanos) + (full ? FULL : 0);
    }

    /** Returns how many requests the replica holds, also while it is asked last. */
    public int counted(NodeId replica, long nowNanos) {
        Load load = mLoads.get(replica);
        if (load == null) {
            return 0;
        }
        return load.mOwn + (isOld(load, nowNanos) ? 0 : load.mOthers + sentByOthersSince(load));
    }

    /**
     * Returns how many requests the replicas hold for each of their slots, by their own word and by
     * what this node has sent and seen ended since, as the others will have done; 0 where replicas
     * do not tell.
     */
    public double fill(ReplicaSet set, long nowNanos) {
        double held = 0;
        double slots = 0;
        boolean told = false;
        for (var replica : set.replicas()) {
            slots += replica.weight();
            Load load = mLoads.get(replica.node());
            if (load != null) {
                told |= load.mTold;
                held += heldBySlots(load, nowNanos);
            }
        }
        return told ? Math.max(0, held) / Math.max(1, slots) : 0;
    }

    private double heldBySlots(Load load, long nowNanos) {
        if (isOld(load, nowNanos)) {
            return 0;
        }
        double since = load.mOwn - load.mOwnWhenTold;
        return load.mOwnWhenTold + load.mOthers + since * mNodes;
    }

    private static boolean isOld(Load load, long nowNanos) {
        return load.mOwn == 0 && nowNanos - load.mToldAtNanos > REPORT_AGE.toNanos();
    }

    /**
     * The other nodes choose alike, so while a replica owes this node more answers than when it
     * last told its load, it owes them as many more; one may be on its way in any case.
     */
    private int sentByOthersSince(Load load) {
        int more = load.mOwn - load.mOwnWhenTold - 1;
        return Math.max(0, more) * (mNodes - 1);
    }

    /** Forgets replicas that hold nothing of this node and are not named. */
    public void retain(Set<NodeId> replicas) {
        mLoads.entrySet().removeIf(e -> e.getValue().mOwn == 0 && !replicas.contains(e.getKey()));
    }

    private Load load(NodeId replica) {
        return mLoads.computeIfAbsent(replica, id -> new Load());
    }
}
