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
    public record Listed(
            NodeId node, FailureDomain domain, String address, double weight, boolean leaving) {}

    /** Time for which a replica that answered lately stays after it left the list. */
    private static final long UNLISTED_GRACE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The same for a replica that keeps dropping out of the list. */
    private static final long LONGEST_GRACE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time after which a replica that stayed in the list no longer counts as flapping. */
    private static final long FLAPS_KEPT_NANOS = TimeUnit.MINUTES.toNanos(5);

    private static final int MOST_FLAPS = 8;

    /**
     * Time for which late words of a replaced incarnation are not heard. Not for good: incarnations
     * have no order, and two that swap must come right again.
     */
    private static final long FORMER_KEPT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private record Former(long incarnation, long replacedAtNanos) {}

    /** Time for which the word of a replica that it leaves or is empty outweighs the list. */
    private static final long LEAVING_HOLD_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time for which a replica that left and ended is left alone. */
    private static final long ENDED_HOLD_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** What is known of one replica. */
    private static final class Seen {
        private Replica mReplica;
        private long mListedAtNanos;
        private long mAnsweredAtNanos;
        private final ArrayDeque<Former> mFormer = new ArrayDeque<>();
        private boolean mEverAnswered;
        private boolean mIsUnreachable;
        private int mFlaps;
        private long mFlappedAtNanos;
        private boolean mListed;
        private boolean mListedLeaving;
        private boolean mSaidLeaving;
        private long mSaidLeavingAtNanos;
        private boolean mSaidServesNothing;
        private long mSaidServesNothingAtNanos;

        /** Takes the incarnation that answers; false if another one has replaced it. */
        boolean replaceBy(long incarnation, long nowNanos) {
            mFormer.removeIf(former -> nowNanos - former.replacedAtNanos() > FORMER_KEPT_NANOS);
            if (mFormer.stream().anyMatch(former -> former.incarnation() == incarnation)) {
                return false;
            }
            if (mReplica.incarnation() != incarnation) {
                if (mReplica.incarnation() != 0) {
                    mFormer.addLast(new Former(mReplica.incarnation(), nowNanos));
                }
                mReplica = mReplica.withIncarnation(incarnation);
                mSaidLeaving = false;
                mSaidServesNothing = false;
            }
            return true;
        }

        /** A replica that keeps dropping out of the list and coming back stays for longer. */
        private long graceNanos() {
            return Math.min(UNLISTED_GRACE_NANOS << mFlaps, LONGEST_GRACE_NANOS);
        }

        boolean isLive(long nowNanos) {
            if (isHeldAsLeaving(nowNanos) || mListedLeaving) {
                return false;
            }
            if (mSaidServesNothing && nowNanos - mSaidServesNothingAtNanos < LEAVING_HOLD_NANOS) {
                return false;
            }
            var stays = !mIsUnreachable && (mEverAnswered || mFlaps > 0);
            return mListed || (stays && nowNanos - lastSign() < graceNanos());
        }

        boolean isHeldAsLeaving(long nowNanos) {
            return mSaidLeaving && nowNanos - mSaidLeavingAtNanos < LEAVING_HOLD_NANOS;
        }

        private long lastSign() {
            return mListedAtNanos - mAnsweredAtNanos > 0 ? mListedAtNanos : mAnsweredAtNanos;
        }
    }

    private final PoolId mPool;
    private final Map<NodeId, Seen> mSeen = new HashMap<>();
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
    public void onList(List<Listed> listed, long nowNanos) {
        var wasListed = new HashSet<NodeId>();
        for (var seen : mSeen.values()) {
            if (seen.mListed) {
                wasListed.add(seen.mReplica.node());
            }
            seen.mListed = false;
        }
        for (var entry : listed) {
            list(entry, wasListed.contains(entry.node()), nowNanos);
        }
    }

    /** Notes that a replica said hello, or answered in any way. */
    public void onHello(NodeId node, long incarnation, boolean leaving, long nowNanos) {
        Seen seen = mSeen.get(node);
        if (seen == null || !seen.replaceBy(incarnation, nowNanos)) {
            return;
        }
        if (leaving && !seen.isHeldAsLeaving(nowNanos)) {
            seen.mSaidLeaving = true;
            seen.mSaidLeavingAtNanos = nowNanos;
        }
        seen.mEverAnswered = true;
        seen.mIsUnreachable = false;
        seen.mAnsweredAtNanos = nowNanos;
    }

    /**
     * Notes whether a replica said that it serves nothing. Its word holds for a while only, since
     * it tells the next one just to those that are connected to it.
     */
    public void onServesNothing(
            NodeId node, long incarnation, boolean servesNothing, long nowNanos) {
        Seen seen = mSeen.get(node);
        if (seen != null && seen.mReplica.incarnation() == incarnation) {
            seen.mSaidServesNothing = servesNothing;
            seen.mSaidServesNothingAtNanos = nowNanos;
        }
    }

    /** Returns the replicas that are listed as live, whether or not they serve. */
    public List<Replica> listed(long nowNanos) {
        return mSeen.values().stream()
                .filter(seen -> seen.mListed && !seen.mListedLeaving)
                .filter(seen -> !seen.isHeldAsLeaving(nowNanos))
                .map(seen -> seen.mReplica)
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
    public void onClosed(NodeId node, long nowNanos) {
        Seen seen = mSeen.get(node);
        if (seen != null && seen.isHeldAsLeaving(nowNanos)) {
            seen.mSaidLeavingAtNanos = nowNanos - LEAVING_HOLD_NANOS + ENDED_HOLD_NANOS;
        }
    }

    /** Notes that a replica could not be reached; it no longer stays without the list. */
    public void onUnreachable(NodeId node) {
        Seen seen = mSeen.get(node);
        if (seen != null) {
            seen.mEverAnswered = false;
            seen.mIsUnreachable = true;
        }
    }

    /** Returns the live replicas; the same object as before while nothing has changed. */
    public ReplicaSet replicas(long nowNanos) {
        mSeen.values().removeIf(seen -> isGone(seen, nowNanos));
        var live = new ArrayList<Replica>(mSeen.size());
        for (var seen : mSeen.values()) {
            if (seen.isLive(nowNanos)) {
                live.add(seen.mReplica);
            }
        }
        if (!sameAsCurrent(live)) {
            mCurrent = ReplicaSet.of(mPool, live);
        }
        return mCurrent;
    }

    private static boolean isGone(Seen seen, long nowNanos) {
        return !seen.mListed && !seen.isLive(nowNanos) && !seen.isHeldAsLeaving(nowNanos);
    }

    private void list(Listed entry, boolean wasListed, long nowNanos) {
        Seen seen = mSeen.get(entry.node());
        if (seen == null || !seen.mReplica.address().equals(entry.address())) {
            // A VM at another address is another one, whatever was known of the former.
            seen = new Seen();
            mSeen.put(entry.node(), seen);
        } else if (wasListed) {
            seen.mFlaps = nowNanos - seen.mFlappedAtNanos > FLAPS_KEPT_NANOS ? 0 : seen.mFlaps;
        } else {
            seen.mFlaps = Math.min(seen.mFlaps + 1, MOST_FLAPS);
            seen.mFlappedAtNanos = nowNanos;
        }
        long incarnation = seen.mReplica == null ? 0 : seen.mReplica.incarnation();
        seen.mReplica =
                new Replica(
                        entry.node(), entry.domain(), entry.address(), entry.weight(), incarnation);
        seen.mListed = true;
        seen.mListedAtNanos = nowNanos;
        seen.mListedLeaving = entry.leaving();
    }

    private boolean sameAsCurrent(List<Replica> live) {
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
