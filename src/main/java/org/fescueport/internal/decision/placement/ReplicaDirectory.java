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
 * Builds a pool's {@link ReplicaSet} from the platform's list of VMs and from what this process saw
 * itself.
 *
 * <p>The list lags and flaps. A replica that answered lately stays for a while after it has dropped
 * out of the list; one that said that it leaves goes at once, and comes back as another incarnation
 * or when the list still has it long after. Not safe for use by several threads; the sets that it
 * returns are.
 *
 * <pre>{@code
 * directory.onList(listed, now);
 * directory.onHello(node, incarnation, leaving, now);
 * ReplicaSet set = directory.replicas(now);
 * }</pre>
 */
public final class ReplicaDirectory {
    /** A replica as the list of VMs has it. */
    public record ListedReplica(
            NodeId node, FailureDomain domain, String address, double weight, boolean leaving) {}

    /** Time for which a replica that answered lately stays after it left the list. */
    private static final long UNLISTED_GRACE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The same for a replica that keeps dropping out of the list. */
    private static final long MAX_UNLISTED_GRACE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time after which a replica that stayed in the list no longer counts as flapping. */
    private static final long FLAP_RESET_NANOS = TimeUnit.MINUTES.toNanos(5);

    private static final int MAX_FLAPS = 8;

    /**
     * Time for which late words of a replaced incarnation are not heard. Not for good: incarnations
     * have no order, and two that swap must come right again.
     */
    private static final long REPLACED_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private record ReplacedIncarnation(long incarnation, long replacedAtNanos) {}

    /** Time for which the word of a replica that it leaves or is empty outweighs the list. */
    private static final long SELF_REPORT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time for which a replica that left and ended is left alone. */
    private static final long DISCONNECTED_HOLD_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** What is known of one replica. */
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

        /** Takes the incarnation that answers; false if another one has replaced it. */
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

        /** A replica that keeps dropping out of the list and coming back stays for longer. */
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

    /** Returns a directory that knows of no replica. */
    public static ReplicaDirectory create(PoolId pool) {
        return new ReplicaDirectory(pool);
    }

    /** Takes the pool's part of the list of VMs as it was just read. */
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

    /** Notes that a replica said hello, or answered in any way. */
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
     * Notes whether a replica said that it serves nothing. Its word holds for a while only, since
     * it tells the next one just to those that are connected to it.
     */
    public void onServesNothing(
            NodeId node, long incarnation, boolean servesNothing, long nowNanos) {
        ReplicaState state = mStates.get(node);
        if (state != null && state.mReplica.incarnation() == incarnation) {
            state.mReportedServesNothing = servesNothing;
            state.mReportedServesNothingAtNanos = nowNanos;
        }
    }

    /** Returns the replicas that are listed as live, whether or not they serve. */
    public List<Replica> listedReplicas(long nowNanos) {
        return mStates.values().stream()
                .filter(state -> state.mListed && !state.mListedLeaving)
                .filter(state -> !state.isLeaving(nowNanos))
                .map(state -> state.mReplica)
                .toList();
    }

    /** Notes that a replica said that this incarnation of it leaves. */
    public void onLeaving(NodeId node, long incarnation, long nowNanos) {
        onHello(node, incarnation, true, nowNanos);
    }

    /**
     * Notes that the connection to a replica ended. One that was leaving may have ended too, so
     * that another incarnation soon listens in its place.
     */
    public void onConnectionClosed(NodeId node, long nowNanos) {
        ReplicaState state = mStates.get(node);
        if (state != null && state.isLeaving(nowNanos)) {
            state.mReportedLeavingAtNanos =
                    nowNanos - SELF_REPORT_EXPIRY_NANOS + DISCONNECTED_HOLD_NANOS;
        }
    }

    /** Notes that a replica could not be reached; it no longer stays without the list. */
    public void onUnreachable(NodeId node) {
        ReplicaState state = mStates.get(node);
        if (state != null) {
            state.mHasResponded = false;
            state.mIsUnreachable = true;
        }
    }

    /** Returns the live replicas; the same object as before while nothing has changed. */
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
            // A VM at another address is another one, whatever was known of the former.
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
