package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * Decides how much of its usual requests this node sends to a replica that has started or
 * recovered, by how the replica answers.
 *
 * <p>Designed for many nodes with few requests each. A new incarnation begins with a small share.
 * The share doubles with each round of answers that are successes and as quick as those of the
 * other replicas for the same kind of work; a bad sign lowers it. Each request that this node sends
 * to the pool gives a replica credit for its share of one request, so all nodes together send it
 * this share without exchanging messages. A node that sees no signs lets the share grow with time,
 * and one that sees a good answer adopts the share that the load reported with it reveals. If no
 * other replica is left, the pace gives way. This class is not thread-safe.
 *
 * <pre>{@code
 * pace.onReplicas(set, active, now);
 * pace.onRequest(set, eligible, now);
 * ReplicaFilter filter = pace.filter(set, affinity, now);
 * Sending sending = pace.onSent(pool, incarnation, kind, ReplicaPace.slowFactor(true, 1), now);
 * pace.onFirstByte(sending, now);
 * pace.onEnded(sending);
 * }</pre>
 */
public final class ReplicaPace {
    /** Ratio of a time to the usual one from which an answer counts as slow. */
    private static final double SLOW_FACTOR = 2;

    /** The same for a prompt that the replica must first compute, as others had it cached. */
    private static final double SLOW_UNCACHED_FACTOR = 5;

    /** A replica with a small share is not sent more if its load is this much above that share. */
    private static final double LOAD_TOLERANCE = 2;

    /** Weight of a new sign in the part of bad signs of a pool. */
    private static final double BAD_SMOOTHING = 0.02;

    /** Replicas found within this time after a pool's first ones have been there before. */
    private static final Duration FIRST_LIST_TIME = Duration.ofSeconds(1);

    /** Whether a replica gets its full share. */
    public enum State {
        /** It has started, or comes back from a pause; its share grows. */
        STARTING,
        /** It has answered slowly or not at all; its share is smaller until it answers well. */
        HELD_BACK,
        /** It gets its full share. */
        FULL
    }

    /** A change of a replica's state. */
    public record Change(AgentIncarnation replica, State state, double share) {}

    /** Notified of changes. */
    @FunctionalInterface
    public interface Listener {
        /** Called after the change. */
        void onChange(Change change);
    }

    /** A request that was sent to a replica. */
    public static final class Sending {
        private final PoolId mPool;
        private final AgentIncarnation mLife;
        private final WorkKind mKind;
        private final double mSlowFactor;
        private final long mSentNanos;
        private boolean mJudged;

        private Sending(
                PoolId pool,
                AgentIncarnation life,
                WorkKind kind,
                double slowFactor,
                long sentNanos) {
            mPool = pool;
            mLife = life;
            mKind = kind;
            mSlowFactor = slowFactor;
            mSentNanos = sentNanos;
        }
    }

    private static final class Pool {
        private final Map<NodeId, PaceState> mStates = new HashMap<>();

        /** The states of replicas that are held back or have requests without a first byte. */
        private final Set<PaceState> mWatched = new LinkedHashSet<>();

        private final UsualTimes mTimes = new UsualTimes();
        private final long mFirstSeenNanos;
        private ReplicaSet mSet;
        private double mWeights;
        private double mBadPart;

        Pool(long nowNanos) {
            mFirstSeenNanos = nowNanos;
        }
    }

    private final RandomGenerator mRandom;
    private final ReplicaLoads mLoads;
    private final Map<PoolId, Pool> mPools = new HashMap<>();
    private Listener mListener = change -> {};

    private ReplicaPace(ReplicaLoads loads, RandomGenerator random) {
        mLoads = loads;
        mRandom = random;
    }

    /** Returns a pace that knows no replicas. */
    public static ReplicaPace create(ReplicaLoads loads, RandomGenerator random) {
        return new ReplicaPace(loads, random);
    }

    /** Sets the listener; it replaces the previous one. */
    public void listen(Listener listener) {
        mListener = listener;
    }

    /**
     * Updates the replicas of a pool.
     *
     * @param active whether incarnations that appear from now on start with a small share
     */
    public void onReplicas(ReplicaSet set, boolean active, long nowNanos) {
        Pool pool = mPools.computeIfAbsent(set.pool(), id -> new Pool(nowNanos));
        if (pool.mSet == set) {
            return;
        }
        pool.mSet = set;
        pool.mWeights = set.replicas().stream().mapToDouble(Replica::weight).sum();
        pool.mStates.keySet().removeIf(node -> set.indexOf(node) < 0);
        boolean first = nowNanos - pool.mFirstSeenNanos <= FIRST_LIST_TIME.toNanos();
        for (var replica : set.replicas()) {
            PaceState known = pool.mStates.get(replica.node());
            if (known == null || known.mLife.number() != replica.incarnation()) {
                add(pool, replica, active && (known != null || !first), nowNanos);
            }
        }
        pool.mWatched.removeIf(state -> pool.mStates.get(state.mLife.node()) != state);
    }

    private void add(Pool pool, Replica replica, boolean starting, long nowNanos) {
        var life = AgentIncarnation.of(replica.node(), replica.incarnation());
        PaceState state = PaceState.full(life, replica.weight(), nowNanos);
        pool.mStates.put(replica.node(), state);
        if (starting) {
            state.restart(State.STARTING, mRandom.nextDouble(), nowNanos);
            tellIfChanged(pool, state, State.FULL);
        }
    }

    /** Removes the pools that no longer exist. */
    public void retain(Set<PoolId> pools) {
        mPools.keySet().retainAll(pools);
    }

    /** Returns the number of replicas that do not get their full share. */
    public int heldBack() {
        int count = 0;
        for (var pool : mPools.values()) {
            count += (int) pool.mStates.values().stream().filter(PaceState::isHeldBack).count();
        }
        return count;
    }

    /**
     * Records that this node has a request for a pool, before the replica is chosen.
     *
     * @param eligible replicas that the request could go to, whatever their pace
     */
    public void onRequest(ReplicaSet set, ReplicaFilter eligible, long nowNanos) {
        Pool pool = mPools.get(set.pool());
        if (pool.mWatched.isEmpty()) {
            return;
        }
        double effective = pool.mWeights;
        for (var state : List.copyOf(pool.mWatched)) {
            var replica = set.replica(set.indexOf(state.mLife.node()));
            consider(pool, state, eligible.allows(replica), nowNanos);
            effective -= (1 - state.share()) * state.mWeight;
        }
        for (var state : pool.mWatched) {
            if (state.isHeldBack()) {
                state.addCredit(state.share() * state.mWeight / effective);
            }
        }
    }

    /**
     * Returns a filter for one request; asking it has no side effects. Of the requests with a
     * cached prefix, a replica gets those of some prefixes first, so that it computes few of them.
     */
    public ReplicaFilter filter(ReplicaSet set, Affinity affinity, long nowNanos) {
        Pool pool = mPools.get(set.pool());
        if (pool.mWatched.isEmpty()) {
            return ReplicaFilter.ALL;
        }
        double draw = affinity.cacheable() ? (affinity.key() >>> 11) * 0x1p-53 : 0;
        double occupancy = mLoads.occupancy(set, nowNanos);
        return replica -> {
            PaceState state = pool.mStates.get(replica.node());
            return !state.isHeldBack()
                    || (state.hasCredit()
                            && draw < state.share()
                            && mLoads.inFlight(replica.node(), nowNanos)
                                    < maxLoad(state, occupancy));
        };
    }

    private static double maxLoad(PaceState state, double occupancy) {
        return 1 + LOAD_TOLERANCE * state.share() * occupancy * state.mWeight;
    }

    /** Judges requests that wait for their first byte longer than usual. */
    private void consider(Pool pool, PaceState state, boolean eligible, long nowNanos) {
        State before = state.state();
        for (var sending : state.mPending) {
            if (!isSlow(pool, sending, nowNanos)) {
                break;
            }
            if (!sending.mJudged) {
                sending.mJudged = true;
                onSlow(pool, state, sending, nowNanos);
            }
        }
        state.onConsidered(eligible && state.mPending.isEmpty(), nowNanos);
        tellIfChanged(pool, state, before);
    }

    private static boolean isSlow(Pool pool, Sending sending, long nowNanos) {
        long nanos = nowNanos - sending.mSentNanos;
        return pool.mTimes.isLonger(sending.mKind, nanos, sending.mSlowFactor);
    }

    private static void onSlow(Pool pool, PaceState state, Sending sending, long nowNanos) {
        if (state.isOfThisRound(sending.mSentNanos)) {
            onBad(pool, state, nowNanos);
        }
    }

    private static void onBad(Pool pool, PaceState state, long nowNanos) {
        state.onBad(pool.mBadPart, nowNanos);
        if (!state.isHeldBack()) {
            pool.mBadPart += BAD_SMOOTHING * (1 - pool.mBadPart);
        }
    }

    /**
     * Returns the ratio to the usual time from which an answer counts as slow.
     *
     * @param cached whether no other replica is known that rather has the prompt in its cache
     * @param slowness factor by which the replica reports that its machine is slower than usual;
     *     placement accounts for it, so that it does not count here as well
     */
    public static double slowFactor(boolean cached, double slowness) {
        return (cached ? SLOW_FACTOR : SLOW_UNCACHED_FACTOR) * Math.max(1, slowness);
    }

    /**
     * Records that a request is sent.
     *
     * @param slowFactor ratio to the usual time from which the answer counts as slow
     */
    public Sending onSent(
            PoolId poolId,
            AgentIncarnation replica,
            WorkKind kind,
            double slowFactor,
            long nowNanos) {
        var sending = new Sending(poolId, replica, kind, slowFactor, nowNanos);
        PaceState state = state(poolId, replica);
        if (state != null) {
            state.useCredit();
            state.mPending.add(sending);
            mPools.get(poolId).mWatched.add(state);
        }
        return sending;
    }

    /** Records that a request has ended, in whatever way; repeated calls have no effect. */
    public void onEnded(Sending sending) {
        PaceState state = state(sending.mPool, sending.mLife);
        if (state != null) {
            state.mPending.remove(sending);
        }
    }

    /** Records the first byte of a successful response. */
    public void onFirstByte(Sending sending, long nowNanos) {
        onEnded(sending);
        Pool pool = mPools.get(sending.mPool);
        PaceState state = state(sending.mPool, sending.mLife);
        if (state == null) {
            return;
        }
        State before = state.state();
        boolean slow = isSlow(pool, sending, nowNanos);
        if (!state.isHeldBack() || isNoneFull(pool)) {
            pool.mTimes.add(sending.mKind, nowNanos - sending.mSentNanos);
        }
        if (slow && !sending.mJudged) {
            onSlow(pool, state, sending, nowNanos);
        } else if (!slow && state.isOfThisRound(sending.mSentNanos)) {
            pool.mBadPart -= BAD_SMOOTHING * pool.mBadPart;
            state.onGood(loadRatio(pool, state, nowNanos), pool.mBadPart, nowNanos);
        }
        sending.mJudged = true;
        tellIfChanged(pool, state, before);
    }

    private static boolean isNoneFull(Pool pool) {
        return pool.mStates.values().stream().allMatch(PaceState::isHeldBack);
    }

    /** Returns the load of the replica per slot, relative to the mean; 0 if it is unknown. */
    private double loadRatio(Pool pool, PaceState state, long nowNanos) {
        double occupancy = mLoads.occupancy(pool.mSet, nowNanos);
        double load = mLoads.inFlight(state.mLife.node(), nowNanos) / state.mWeight;
        return occupancy > 0 ? load / occupancy : 0;
    }

    /** Records that a replica has refused a request; a busy one with its full share may do so. */
    public void onRefused(PoolId poolId, AgentIncarnation replica, long nowNanos) {
        PaceState state = state(poolId, replica);
        if (state != null && state.isHeldBack()) {
            State before = state.state();
            onBad(mPools.get(poolId), state, nowNanos);
            tellIfChanged(mPools.get(poolId), state, before);
        }
    }

    /** Records that a replica was not reached, fell silent, failed or lost an answer. */
    public void onFailure(PoolId poolId, AgentIncarnation replica, long nowNanos) {
        PaceState state = state(poolId, replica);
        if (state == null) {
            return;
        }
        State before = state.state();
        onBad(mPools.get(poolId), state, nowNanos);
        if (state.isDownAfterFailure() && state.share() > PaceState.MIN_SHARE) {
            state.restart(State.HELD_BACK, mRandom.nextDouble(), nowNanos);
        }
        tellIfChanged(mPools.get(poolId), state, before);
    }

    /** Records that a replica asked for a pause; it starts anew afterwards. */
    public void onPaused(PoolId poolId, AgentIncarnation replica, long nowNanos) {
        PaceState state = state(poolId, replica);
        if (state != null) {
            State before = state.state();
            state.restart(State.STARTING, mRandom.nextDouble(), nowNanos);
            tellIfChanged(mPools.get(poolId), state, before);
        }
    }

    private PaceState state(PoolId poolId, AgentIncarnation replica) {
        Pool pool = mPools.get(poolId);
        PaceState state = pool == null ? null : pool.mStates.get(replica.node());
        return state != null && state.mLife.equals(replica) ? state : null;
    }

    private void tellIfChanged(Pool pool, PaceState state, State before) {
        if (state.isHeldBack()) {
            pool.mWatched.add(state);
        } else if (state.mPending.isEmpty()) {
            pool.mWatched.remove(state);
        }
        if (state.state() != before) {
            mListener.onChange(new Change(state.mLife, state.state(), state.share()));
        }
    }
}
