package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.ejection.EjectionSettings;
import org.fescueport.internal.decision.ejection.OutlierEjection;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.ColdReplicaLimiter;
import org.fescueport.internal.decision.placement.PrefixHolders;
import org.fescueport.internal.decision.placement.PrefixPlacement;
import org.fescueport.internal.decision.placement.Ranking;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaNotices;
import org.fescueport.internal.decision.placement.ReplicaPace;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.decision.placement.ReplicaSpeeds;
import org.fescueport.internal.decision.placement.WorkKind;
import org.fescueport.internal.direct.state.FleetView;
import org.fescueport.internal.direct.state.ReplicaEntry;

/**
 * Chooses the replica for a request by {@link PrefixPlacement}. Replicas that fail repeatedly are
 * skipped while others are left. A replica that has reported that it accepts no new requests is
 * never chosen, and one that has not warmed up is chosen no more often than it can handle.
 */
public final class ReplicaChooser {
    private static final EjectionSettings EJECTION =
            new EjectionSettings(
                    2,
                    3,
                    0.4,
                    Duration.ofMillis(1_200),
                    Duration.ofSeconds(8),
                    Duration.ofSeconds(2));

    /** Time after which a new replica has computed or fetched the prompts that are in use. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(20);

    /** Told what the other nodes should know. */
    public interface Reports {
        /** Reports nothing. */
        Reports NONE =
                new Reports() {
                    @Override
                    public void onLoss(AgentIncarnation replica) {}

                    @Override
                    public void onHolder(long prefix, NodeId replica) {}
                };

        /** A replica has lost the answer to a request. */
        void onLoss(AgentIncarnation replica);

        /** A replica gets a prefix that the other nodes do not expect there. */
        void onHolder(long prefix, NodeId replica);
    }

    /**
     * The replica that a request is sent to.
     *
     * @param cacheHolder another replica that may have the prompt cached
     */
    public record Selection(ReplicaEntry replica, Optional<ReplicaEntry> cacheHolder) {}

    private final FleetView mView;
    private final ReplicaSpeeds mSpeeds;
    private final PrefixPlacement mPlacement;
    private final ReplicaNotices mNotices;
    private final ColdReplicaLimiter mColdReplicaLimiter;
    private final ReplicaPace mPace;
    private final Mechanisms mMechanisms;
    private final Map<PoolId, OutlierEjection> mEjections = new HashMap<>();
    private final PrefixHolders mHolders = PrefixHolders.create();
    private Reports mReports = Reports.NONE;

    private ReplicaChooser(
            FleetView view,
            ReplicaLoads loads,
            ReplicaNotices notices,
            ColdReplicaLimiter coldReplicaLimiter,
            ReplicaPace pace,
            ReplicaSpeeds speeds,
            Mechanisms mechanisms) {
        mView = view;
        mPace = pace;
        mSpeeds = speeds;
        mColdReplicaLimiter = coldReplicaLimiter;
        mNotices = notices;
        mMechanisms = mechanisms;
        mPlacement = PrefixPlacement.create(loads, speeds, mechanisms);
    }

    /** Returns a chooser among the replicas of the view. */
    public static ReplicaChooser create(
            FleetView view,
            ReplicaLoads loads,
            ReplicaNotices notices,
            ColdReplicaLimiter coldTurns,
            ReplicaPace pace,
            ReplicaSpeeds speeds,
            Mechanisms mechanisms) {
        return new ReplicaChooser(view, loads, notices, coldTurns, pace, speeds, mechanisms);
    }

    /**
     * Returns where the request is sent, or empty if no replica of the pool can get it now.
     *
     * @param tried replicas that the request must not be sent to again
     */
    public Optional<Selection> choose(
            PoolId pool, Affinity affinity, Set<NodeId> tried, long nowNanos) {
        ReplicaSet set = mView.pool(pool);
        ReplicaSet all = mView.notLeaving(pool);
        double coldRate = coldRate(pool);
        ReplicaFilter eligible =
                replica ->
                        !tried.contains(replica.node())
                                && isAccepting(replica, nowNanos)
                                && isWithinColdRate(replica, coldRate, nowNanos);
        ReplicaFilter healthy =
                mMechanisms.isEnabled(Mechanism.EJECTION)
                        ? ejection(set).filter(affinity.key(), nowNanos).and(eligible)
                        : eligible;
        ReplicaFilter paced = withinPace(set, affinity, healthy, nowNanos);
        Optional<Replica> chosen = mPlacement.choose(set, all, affinity, paced, nowNanos);
        if (chosen.isEmpty()) {
            chosen = mPlacement.choose(set, all, affinity, healthy, nowNanos);
        }
        if (chosen.isEmpty()) {
            chosen = mPlacement.choose(set, all, affinity, eligible, nowNanos);
        }
        chosen.filter(replica -> isRateLimited(replica, coldRate, nowNanos))
                .ifPresent(replica -> mColdReplicaLimiter.onSent(incarnationOf(replica)));
        return chosen.flatMap(replica -> mView.replica(replica.node()))
                .map(replica -> new Selection(replica, cacheHolder(replica, affinity, nowNanos)));
    }

    /** Returns a filter for the allowed replicas that may get a request at their present pace. */
    private ReplicaFilter withinPace(
            ReplicaSet set, Affinity affinity, ReplicaFilter allowed, long nowNanos) {
        boolean active = isPaceActive();
        mPace.onReplicas(set, active, nowNanos);
        if (!active) {
            return allowed;
        }
        mPace.onRequest(set, allowed, nowNanos);
        return mPace.filter(set, affinity, nowNanos).and(allowed);
    }

    /** The pace needs replicas that share their machines; others take their full share at once. */
    private boolean isPaceActive() {
        return mMechanisms.isEnabled(Mechanism.PACE) && mSpeeds.isAnyReported();
    }

    /** Records that a request is sent; the pace learns from what becomes of it. */
    public ReplicaPace.Sending onSent(Selection selection, WorkKind kind, long nowNanos) {
        var replica = selection.replica();
        double slowness = mSpeeds.slowness(replica.pool(), replica.id());
        double slowFactor = ReplicaPace.slowFactor(selection.cacheHolder().isEmpty(), slowness);
        return mPace.onSent(replica.pool(), replica.life(), kind, slowFactor, nowNanos);
    }

    /** Records the first byte of a replica's successful response. */
    public void onFirstByte(ReplicaPace.Sending sending, long nowNanos) {
        if (isPaceActive()) {
            mPace.onFirstByte(sending, nowNanos);
        }
    }

    /** Records that a request is no longer at its replica. */
    public void onEnded(ReplicaPace.Sending sending) {
        mPace.onEnded(sending);
    }

    /** Records that a replica has refused a request. */
    public void onRefused(ReplicaEntry replica, long nowNanos) {
        if (isPaceActive()) {
            mPace.onRefused(replica.pool(), replica.life(), nowNanos);
        }
    }

    /** Records that a replica has asked for a pause. */
    public void onPaused(ReplicaEntry replica, long nowNanos) {
        if (isPaceActive()) {
            mPace.onPaused(replica.pool(), replica.life(), nowNanos);
        }
    }

    /**
     * Returns the time until the first replica of the pool accepts requests again; empty if one
     * accepts requests now, or none ever will.
     */
    public Optional<Duration> timeUntilPoolAccepts(PoolId pool, long nowNanos) {
        var incarnations =
                mView.pool(pool).replicas().stream().map(ReplicaChooser::incarnationOf).toList();
        return mNotices.timeUntilAccepting(incarnations, nowNanos);
    }

    private boolean isAccepting(Replica replica, long nowNanos) {
        return !mMechanisms.isEnabled(Mechanism.NOTICES)
                || mNotices.acceptsRequests(incarnationOf(replica), nowNanos);
    }

    private boolean isWithinColdRate(Replica replica, double coldRate, long nowNanos) {
        return !isRateLimited(replica, coldRate, nowNanos)
                || mColdReplicaLimiter.maySend(incarnationOf(replica), coldRate, nowNanos);
    }

    /** Returns whether a replica can handle only few requests because it has not warmed up. */
    private boolean isRateLimited(Replica replica, double coldRate, long nowNanos) {
        return coldRate > 0 && mView.isCold(replica.node(), nowNanos);
    }

    /** Returns the rate limit of a cold replica, in requests per second; 0 if there is none. */
    private double coldRate(PoolId pool) {
        return mView.configuration().map(c -> c.coldRates().getOrDefault(pool, 0.0)).orElse(0.0);
    }

    /** Replicas that are reached directly use their start time as incarnation. */
    private static AgentIncarnation incarnationOf(Replica replica) {
        return AgentIncarnation.of(replica.node(), replica.incarnation());
    }

    /** Returns another replica that may have the prompt cached, if the chosen one may not. */
    private Optional<ReplicaEntry> cacheHolder(
            ReplicaEntry chosen, Affinity affinity, long nowNanos) {
        if (!affinity.cacheable() || !mMechanisms.isEnabled(Mechanism.FORMER_HOME)) {
            return Optional.empty();
        }
        List<ReplicaEntry> known = knownHolders(affinity, nowNanos);
        if (known.stream().anyMatch(holder -> holder.id().equals(chosen.id()))) {
            return Optional.empty();
        }
        return known.stream()
                .findFirst()
                .or(() -> settledHome(chosen.pool(), affinity, nowNanos))
                .filter(home -> !home.id().equals(chosen.id()))
                .filter(home -> !mNotices.isPaused(home.life(), nowNanos));
    }

    /** Returns the replicas that are known to have the prefix cached, the newest first. */
    private List<ReplicaEntry> knownHolders(Affinity affinity, long nowNanos) {
        return mHolders.holders(affinity.key()).stream()
                .filter(holder -> mView.joinedBefore(holder.replica(), holder.sinceNanos()))
                .flatMap(holder -> mView.replica(holder.replica()).stream())
                .filter(replica -> !mNotices.isPaused(replica.life(), nowNanos))
                .toList();
    }

    /**
     * Records that a replica gets a long prefix, and reports it to the other nodes unless they
     * expect the replica to have it: it is the first one by rank, and the prefix has not been sent
     * anywhere else.
     */
    public void onPrefixSent(ReplicaEntry replica, Affinity affinity, long nowNanos) {
        if (!affinity.cacheable() || !mMechanisms.isEnabled(Mechanism.PREFIX_HOLDERS)) {
            return;
        }
        long prefix = affinity.key();
        boolean expected =
                mHolders.holders(prefix).isEmpty()
                        && settledHome(replica.pool(), affinity, nowNanos)
                                .filter(home -> home.id().equals(replica.id()))
                                .isPresent();
        if (!expected && addHolder(prefix, replica.id(), nowNanos)) {
            mReports.onHolder(prefix, replica.id());
        }
    }

    /** Records what another node has reported; returns whether it was not known here. */
    public boolean onReportedHolder(long prefix, NodeId replica, long nowNanos) {
        return mView.replica(replica).isPresent() && addHolder(prefix, replica, nowNanos);
    }

    private boolean addHolder(long prefix, NodeId replica, long nowNanos) {
        mHolders.holders(prefix).stream()
                .filter(holder -> holder.replica().equals(replica))
                .filter(holder -> !mView.joinedBefore(replica, holder.sinceNanos()))
                .findFirst()
                .ifPresent(stale -> mHolders.remove(prefix, replica));
        return mHolders.add(prefix, replica, nowNanos);
    }

    /**
     * Returns the replica that requests with this key were sent to before replicas joined or left,
     * or before its load made them spill over.
     */
    private Optional<ReplicaEntry> settledHome(PoolId pool, Affinity affinity, long nowNanos) {
        ReplicaSet holders = mView.cacheHolders(pool);
        Ranking ranking = Ranking.of(holders, affinity);
        long settled = nowNanos - SETTLING_TIME.toNanos();
        for (int index = ranking.next(); index >= 0; index = ranking.next()) {
            NodeId id = holders.replica(index).node();
            if (mView.joinedBefore(id, settled)) {
                return mView.replica(id);
            }
        }
        return Optional.empty();
    }

    /** Records that a replica has responded. */
    public void onSuccess(ReplicaEntry replica, long nowNanos) {
        ejection(mView.pool(replica.pool())).onSuccess(replica.id(), nowNanos);
    }

    /** Records that a replica could not be reached, fell silent, or responded with an error. */
    public void onFailure(ReplicaEntry replica, long nowNanos) {
        ejection(mView.pool(replica.pool())).onFailure(replica.id(), nowNanos);
        if (isPaceActive()) {
            mPace.onFailure(replica.pool(), replica.life(), nowNanos);
        }
    }

    /**
     * Records that a replica has lost the answer to a request, which is also reported to the other
     * nodes.
     */
    public void onLost(ReplicaEntry replica, long nowNanos) {
        onFailure(replica, nowNanos);
        mReports.onLoss(replica.life());
    }

    /** Records that other nodes have lost answers of a replica; ignored for its former lives. */
    public void onReportedLosses(AgentIncarnation replica, int answers, long nowNanos) {
        mView.replica(replica.node())
                .filter(entry -> entry.life().equals(replica))
                .ifPresent(
                        entry ->
                                ejection(mView.pool(entry.pool()))
                                        .onReportedLosses(entry.id(), answers, nowNanos));
    }

    /** Sets who is told what the other nodes should know. */
    public void listen(Reports reports) {
        mReports = reports;
    }

    /** Returns how many times replicas of the present pools were ejected for failing too often. */
    public long shareEjections() {
        return mEjections.values().stream().mapToLong(OutlierEjection::shareEjections).sum();
    }

    /** Drops the state of pools that no longer exist. */
    public void onReplicasChanged() {
        mEjections.keySet().retainAll(mView.pools());
        mPace.retain(mView.pools());
    }

    private OutlierEjection ejection(ReplicaSet set) {
        var ejection =
                mEjections.computeIfAbsent(
                        set.pool(),
                        pool -> OutlierEjection.create(EJECTION, set, mSpeeds::isAnyReported));
        ejection.onReplicas(set);
        return ejection;
    }
}
