package org.fescueport.internal.direct.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.admission.PoolAdmission;
import org.fescueport.internal.decision.admission.PoolOffer;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaSpeeds;
import org.fescueport.internal.decision.share.FleetDemand;
import org.fescueport.internal.decision.share.NodeShare;
import org.fescueport.internal.direct.state.FleetView;

/**
 * Admits requests to the replicas of each pool: at once while there is capacity, otherwise in the
 * order that {@link PoolAdmission} decides. Must be called on the event loop only.
 */
public final class AdmissionControl {
    /** Notified of the decision on a request that was queued. */
    interface AdmissionListener {
        /** The request may be sent now. */
        void onAdmitted();

        /**
         * The request must not be sent; the replicas may have capacity after {@code retryAfter}.
         */
        void onRefused(Duration retryAfter);
    }

    private static final TeamId SHARED_TEAM = TeamId.of("");

    /** Identifies a request from its admission until its end. */
    record Ticket(PoolId pool, TeamId team, AttemptId id) {}

    private static final class PoolQueue {
        private final PoolAdmission mAdmission;
        private final Map<AttemptId, AdmissionListener> mWaiting = new HashMap<>();

        PoolQueue(PoolAdmission admission) {
            mAdmission = admission;
        }
    }

    private final FleetView mView;
    private final ReplicaLoads mLoads;
    private final ReplicaSpeeds mSpeeds;
    private final FleetDemand<?> mDemand;
    private final AdmissionMetrics mMetrics;
    private final Mechanisms mMechanisms;
    private final Map<PoolId, PoolQueue> mQueues = new HashMap<>();
    private int mNodes = 1;
    private long mNextId;
    private boolean mAdmitting;
    private boolean mStopping;
    private boolean mAdmittingStopped;

    private AdmissionControl(
            FleetView view,
            ReplicaLoads loads,
            ReplicaSpeeds speeds,
            FleetDemand<?> demand,
            AdmissionMetrics metrics,
            Mechanisms mechanisms) {
        mView = view;
        mLoads = loads;
        mSpeeds = speeds;
        mDemand = demand;
        mMetrics = metrics;
        mMechanisms = mechanisms;
    }

    /**
     * Returns an admission control for the replicas of the view.
     *
     * @param speeds shows whether the replicas share their machines; if so, the requests that wait
     *     for the first byte are limited, and capacity is divided fairly among the teams of the
     *     fleet
     */
    public static AdmissionControl create(
            FleetView view,
            ReplicaLoads loads,
            ReplicaSpeeds speeds,
            FleetDemand<?> demand,
            AdmissionMetrics metrics,
            Mechanisms mechanisms) {
        return new AdmissionControl(view, loads, speeds, demand, metrics, mechanisms);
    }

    /** Sets the number of nodes that send requests to the same replicas, including this one. */
    public void onNodes(int nodes) {
        mNodes = nodes;
    }

    /** Returns a new ticket for a request of a team to a pool. */
    Ticket ticket(PoolId pool, TeamId team) {
        return new Ticket(pool, team, AttemptId.of(RequestId.of(0, mNextId++), 1));
    }

    /**
     * Decides on a request. The listener is notified later if the result is {@link
     * AdmissionDecision.Queued}, and never otherwise.
     */
    AdmissionDecision admit(
            Ticket ticket, PoolOffer offer, AdmissionListener listener, long nowNanos) {
        if (!mMechanisms.isEnabled(Mechanism.ADMISSION)) {
            return new AdmissionDecision.Admitted();
        }
        PoolQueue queue = queue(ticket.pool(), nowNanos);
        updateLoad(ticket.pool(), queue, nowNanos);
        if (isCapacityShared()) {
            queue.mAdmission.limitStarts(nowNanos);
            mDemand.meter(ticket.pool()).onOffered(ticket.team(), nowNanos);
        }
        AdmissionDecision decision =
                queue.mAdmission.offer(withoutDisabledMechanisms(offer), nowNanos);
        mMetrics.onDecision(decision);
        if (decision instanceof AdmissionDecision.Queued) {
            queue.mWaiting.put(ticket.id(), listener);
        }
        return decision;
    }

    /** Returns whether refused requests are told times at which there is room for each of them. */
    boolean plansReturns() {
        return isCapacityShared();
    }

    /** Returns whether this node holds requests back for lack of capacity in a pool. */
    public boolean isShort(PoolId pool, long nowNanos) {
        PoolQueue queue = mQueues.get(pool);
        return queue != null && queue.mAdmission.isShort(nowNanos);
    }

    /** Applies what is known of the demand of the fleet. Must be called about once a second. */
    public void updateShares(long nowNanos) {
        if (!isCapacityShared()) {
            return;
        }
        mQueues.forEach(
                (pool, queue) -> {
                    NodeShare share = mDemand.share(pool, nowNanos);
                    queue.mAdmission.onShare(share);
                    mMetrics.onShare(share);
                });
    }

    private boolean isCapacityShared() {
        return mSpeeds.isAnyReported();
    }

    /**
     * Returns the offer without the properties whose mechanisms an experiment has disabled, so that
     * requests that differ only in these are treated alike.
     */
    private PoolOffer withoutDisabledMechanisms(PoolOffer offer) {
        if (mMechanisms.areAllEnabled()) {
            return offer;
        }
        return new PoolOffer(
                offer.id(),
                mMechanisms.isEnabled(Mechanism.FAIR_TEAMS) ? offer.team() : SHARED_TEAM,
                mMechanisms.isEnabled(Mechanism.URGENCY) ? offer.urgency() : 0,
                offer.objectiveDeadlineNanos(),
                offer.objectiveNanos(),
                offer.deadlineNanos());
    }

    /**
     * Records the first byte of a replica's response.
     *
     * @param sentNanos when the request was sent to that replica
     */
    void onFirstResponseByte(Ticket ticket, long sentNanos, long nowNanos) {
        queue(ticket.pool(), nowNanos).mAdmission.onFirstByte(ticket.id(), sentNanos, nowNanos);
        if (isCapacityShared()) {
            mDemand.meter(ticket.pool()).onStarted(ticket.team(), nowNanos);
        }
    }

    /** Records that a replica refused the request for lack of capacity. */
    void onReplicaFull(Ticket ticket, long nowNanos) {
        queue(ticket.pool(), nowNanos).mAdmission.onReplicaFull(nowNanos);
    }

    /** Removes a request that has ended for whatever reason, and admits others in its place. */
    void onRequestEnded(Ticket ticket, long nowNanos) {
        PoolQueue queue = queue(ticket.pool(), nowNanos);
        queue.mWaiting.remove(ticket.id());
        if (!queue.mAdmission.cancel(ticket.id())) {
            queue.mAdmission.onEnded(ticket.id(), nowNanos);
        }
        admitWaiting(nowNanos);
    }

    /**
     * Begins to stop: from now on, requests that can no longer meet their latency objective are
     * refused, whether they are queued or new.
     */
    public void beginStop(long nowNanos) {
        mStopping = true;
        mQueues.values().forEach(queue -> queue.mAdmission.beginDrain());
        admitWaiting(nowNanos);
    }

    /** Admits no queued request any more, as the process is about to end. */
    void stopAdmitting() {
        mAdmittingStopped = true;
    }

    /**
     * Admits the queued requests for which there is capacity and refuses those that have expired.
     * Must also be called every few tens of milliseconds.
     */
    public void admitWaiting(long nowNanos) {
        if (mAdmitting || mAdmittingStopped) {
            return;
        }
        mAdmitting = true;
        try {
            for (var entry : List.copyOf(mQueues.entrySet())) {
                admitWaiting(entry.getKey(), entry.getValue(), nowNanos);
            }
        } finally {
            mAdmitting = false;
        }
    }

    /** Removes the queues of pools that no longer exist. */
    public void sweep() {
        var pools = mView.pools();
        mDemand.retain(pools);
        mQueues.entrySet()
                .removeIf(
                        entry ->
                                !pools.contains(entry.getKey())
                                        && entry.getValue().mAdmission.isIdle());
    }

    /** Returns how many requests are queued. */
    public int waiting() {
        return mQueues.values().stream().mapToInt(queue -> queue.mAdmission.waiting()).sum();
    }

    private void admitWaiting(PoolId pool, PoolQueue queue, long nowNanos) {
        boolean moved = queue.mAdmission.waiting() > 0;
        while (moved) {
            updateLoad(pool, queue, nowNanos);
            var step = queue.mAdmission.poll(nowNanos);
            for (var offer : step.started()) {
                queue.mWaiting.remove(offer.id()).onAdmitted();
            }
            for (var expired : step.dropped()) {
                mMetrics.onDropped();
                queue.mWaiting
                        .remove(expired.offer().id())
                        .onRefused(Duration.ofMillis(expired.retryAfterMillis()));
            }
            moved = !step.started().isEmpty();
        }
    }

    private void updateLoad(PoolId pool, PoolQueue queue, long nowNanos) {
        var set = mView.pool(pool);
        double slots = set.replicas().stream().mapToDouble(Replica::weight).sum();
        queue.mAdmission.onCapacity(slots, mNodes);
        queue.mAdmission.onOccupancy(mLoads.occupancy(set, nowNanos));
    }

    private PoolQueue queue(PoolId pool, long nowNanos) {
        return mQueues.computeIfAbsent(
                pool,
                key -> {
                    var admission = PoolAdmission.create(mMechanisms, nowNanos);
                    if (mStopping) {
                        admission.beginDrain();
                    }
                    return new PoolQueue(admission);
                });
    }
}
