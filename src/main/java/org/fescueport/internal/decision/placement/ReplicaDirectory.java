package org.fescueport.internal.decision.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;

/**
 * Builds a pool's {@link ReplicaSet} from the platform's list of VMs and from what this process has
 * observed itself.
 *
 * <p>The list lags behind, and entries can disappear from it and reappear. A replica that has
 * responded recently is therefore kept for a while after it drops out of the list. A replica that
 * reports that it is leaving is removed at once; it is added again with a new incarnation, or when
 * it is still listed long afterwards. This class is not thread-safe; the returned sets are.
 *
 * <pre>{@code
 * directory.onVmList(listed, now);
 * directory.onHello(node, incarnation, leaving, now);
 * ReplicaSet set = directory.replicas(now);
 * }</pre>
 */
public final class ReplicaDirectory {
    /**
     * A replica as it appears in the list of VMs.
     *
     * @param leaving whether the list marks the VM as leaving
     */
    public record ListedReplica(
            NodeId node, FailureDomain domain, String address, double weight, boolean leaving) {}

    /** Time for which a replica that has responded is kept after it drops out of the list. */
    private static final long UNLISTED_GRACE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Upper bound of that time, which doubles each time a replica drops out and reappears. */
    private static final long MAX_UNLISTED_GRACE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time without a flap, while listed, after which a replica's flap count is reset. */
    private static final long FLAP_RESET_NANOS = TimeUnit.MINUTES.toNanos(5);

    private static final int MAX_FLAPS = 8;

    /**
     * Time for which delayed messages of a replaced incarnation are ignored. The time is limited
     * because incarnations are not ordered: if messages of two incarnations arrive in the wrong
     * order, the replica has to return to the right one.
     */
    private static final long REPLACED_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private record ReplacedIncarnation(long incarnation, long replacedAtNanos) {}

    /**
     * Time for which a replica's own report that it is leaving or serves nothing takes precedence
     * over the list.
     */
    private static final long SELF_REPORT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time for which a leaving replica stays excluded after its connection has closed. */
    private static final long DISCONNECTED_HOLD_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** What is known about one replica. */
    private static final class ReplicaState {
        private Replica mReplica;
        private long mLastListedNanos;
        private long mLastResponseNanos;
        private final ArrayDeque<ReplacedIncarnation> mReplacedIncarnations = new ArrayDeque<>();
        private boolean mHasResponded;
        private boolean mIsUnreachable;
        private int mFlapCount;
        private long mLastFlapNanos;
        private boolean mListed;
        private boolean mListedLeaving;
        private boolean mReportedLeaving;
        private long mReportedLeavingAtNanos;
        private boolean mReportedServesNothing;
        private long mReportedServesNothingAtNanos;

        /**
         * Makes the incarnation that has just responded the current one. Returns false, and changes
         * nothing, if the incarnation was replaced by another one recently.
         */
        boolean acceptIncarnation(long incarnation, long nowNanos) {
            mReplacedIncarnations.removeIf(
                    replaced -> nowNanos - replaced.replacedAtNanos() > REPLACED_EXPIRY_NANOS);
            if (mReplacedIncarnations.stream()
                    .anyMatch(replaced -> replaced.incarnation() == incarnation)) {
                return false;
            }
            if (mReplica.incarnation() != incarnation) {
                if (mReplica.incarnation() != 0) {
                    mReplacedIncarnations.addLast(
                            new ReplacedIncarnation(mReplica.incarnation(), nowNanos));
                }
                mReplica = mReplica.withIncarnation(incarnation);
                mReportedLeaving = false;
                mReportedServesNothing = false;
            }
            return true;
        }

        /** Returns the grace time, which grows with the number of times the replica has flapped. */
        private long unlistedGraceNanos() {
            return Math.min(UNLISTED_GRACE_NANOS << mFlapCount, MAX_UNLISTED_GRACE_NANOS);
        }

        boolean isLive(long nowNanos) {
            if (isLeaving(nowNanos) || mListedLeaving) {
                return false;
            }
            if (mReportedServesNothing
                    && nowNanos - mReportedServesNothingAtNanos < SELF_REPORT_EXPIRY_NANOS) {
                return false;
            }
            var outlivesListing = !mIsUnreachable && (mHasResponded || mFlapCount > 0);
            return mListed
                    || (outlivesListing && nowNanos - lastSeenNanos() < unlistedGraceNanos());
        }

        boolean isLeaving(long nowNanos) {
            return mReportedLeaving
                    && nowNanos - mReportedLeavingAtNanos < SELF_REPORT_EXPIRY_NANOS;
        }

        private long lastSeenNanos() {
            return mLastListedNanos - mLastResponseNanos > 0
                    ? mLastListedNanos
                    : mLastResponseNanos;
        }
    }

    private final PoolId mPool;
    private final Map<NodeId, ReplicaState> mStates = new HashMap<>();
    private ReplicaSet mCurrent;

    private ReplicaDirectory(PoolId pool) {
        mPool = pool;
        mCurrent = ReplicaSet.of(pool, List.of());
    }

    /** Returns an empty directory. */
    public static ReplicaDirectory create(PoolId pool) {
        return new ReplicaDirectory(pool);
    }

    /** Applies a newly read list of VMs, restricted to this pool. */
    public void onVmList(List<ListedReplica> listed, long nowNanos) {
        var wasListed = new HashSet<NodeId>();
        for (var state : mStates.values()) {
            if (state.mListed) {
                wasListed.add(state.mReplica.node());
            }
            state.mListed = false;
        }
        for (var entry : listed) {
            applyListing(entry, wasListed.contains(entry.node()), nowNanos);
        }
    }

    /**
     * Records a Hello message or any other response of a replica.
     *
     * @param leaving whether the replica reports that it is leaving
     */
    public void onHello(NodeId node, long incarnation, boolean leaving, long nowNanos) {
        ReplicaState state = mStates.get(node);
        if (state == null || !state.acceptIncarnation(incarnation, nowNanos)) {
            return;
        }
        if (leaving && !state.isLeaving(nowNanos)) {
            state.mReportedLeaving = true;
            state.mReportedLeavingAtNanos = nowNanos;
        }
        state.mHasResponded = true;
        state.mIsUnreachable = false;
        state.mLastResponseNanos = nowNanos;
    }

    /**
     * Records whether a replica reports that it serves nothing. The report expires, because the
     * replica sends the next one only to processes that are connected to it.
     */
    public void onServesNothing(
            NodeId node, long incarnation, boolean servesNothing, long nowNanos) {
        ReplicaState state = mStates.get(node);
        if (state != null && state.mReplica.incarnation() == incarnation) {
            state.mReportedServesNothing = servesNothing;
            state.mReportedServesNothingAtNanos = nowNanos;
        }
    }

    /** Returns the listed replicas that are not leaving, including those that serve nothing. */
    public List<Replica> listedReplicas(long nowNanos) {
        return mStates.values().stream()
                .filter(state -> state.mListed && !state.mListedLeaving)
                .filter(state -> !state.isLeaving(nowNanos))
                .map(state -> state.mReplica)
                .toList();
    }

    /** Records that this incarnation of a replica has reported that it is leaving. */
    public void onLeaving(NodeId node, long incarnation, long nowNanos) {
        onHello(node, incarnation, true, nowNanos);
    }

    /**
     * Records that the connection to a replica has closed. If the replica was leaving, its process
     * has probably ended as well, and a new incarnation may soon listen at the same address.
     */
    public void onConnectionClosed(NodeId node, long nowNanos) {
        ReplicaState state = mStates.get(node);
        if (state != null && state.isLeaving(nowNanos)) {
            state.mReportedLeavingAtNanos =
                    nowNanos - SELF_REPORT_EXPIRY_NANOS + DISCONNECTED_HOLD_NANOS;
        }
    }

    /** Records that a replica is unreachable; it is no longer kept when it is not listed. */
    public void onUnreachable(NodeId node) {
        ReplicaState state = mStates.get(node);
        if (state != null) {
            state.mHasResponded = false;
            state.mIsUnreachable = true;
        }
    }

    /** Returns the live replicas; the same instance as before if nothing has changed. */
    public ReplicaSet replicas(long nowNanos) {
        mStates.values().removeIf(state -> isExpired(state, nowNanos));
        var live = new ArrayList<Replica>(mStates.size());
        for (var state : mStates.values()) {
            if (state.isLive(nowNanos)) {
                live.add(state.mReplica);
            }
        }
        if (!matchesCurrent(live)) {
            mCurrent = ReplicaSet.of(mPool, live);
        }
        return mCurrent;
    }

    private static boolean isExpired(ReplicaState state, long nowNanos) {
        return !state.mListed && !state.isLive(nowNanos) && !state.isLeaving(nowNanos);
    }

    private void applyListing(ListedReplica entry, boolean wasListed, long nowNanos) {
        ReplicaState state = mStates.get(entry.node());
        if (state == null || !state.mReplica.address().equals(entry.address())) {
            // A VM with a different address is a new VM; the state of the old one does not apply.
            state = new ReplicaState();
            mStates.put(entry.node(), state);
        } else if (wasListed) {
            state.mFlapCount =
                    nowNanos - state.mLastFlapNanos > FLAP_RESET_NANOS ? 0 : state.mFlapCount;
        } else {
            state.mFlapCount = Math.min(state.mFlapCount + 1, MAX_FLAPS);
            state.mLastFlapNanos = nowNanos;
        }
        long incarnation = state.mReplica == null ? 0 : state.mReplica.incarnation();
        state.mReplica =
                new Replica(
                        entry.node(), entry.domain(), entry.address(), entry.weight(), incarnation);
        state.mListed = true;
        state.mLastListedNanos = nowNanos;
        state.mListedLeaving = entry.leaving();
    }

    private boolean matchesCurrent(List<Replica> live) {
        if (live.size() != mCurrent.size()) {
            return false;
        }
        for (var replica : live) {
            int index = mCurrent.indexOf(replica.node());
            if (index < 0 || !mCurrent.replica(index).equals(replica)) {
                return false;
            }
        }
        return true;
    }
}
