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
import org.fescueport.internal.direct.state.FleetView;

/**
 * The way of requests to the replicas of each pool: at once while there is room, else in the order
 * that {@link PoolAdmission} decides. Used by the event loop alone.
 */
public final class PoolGates {
    /** A request at a gate. */
    interface Passenger {
        /** The request may be sent now. */
        void onAdmitted();

        /** The request is not sent; there may be room after this time. */
        void onRefused(Duration retryAfter);
    }

    private static final TeamId ONE_TEAM = TeamId.of("");

    /** Names a request at its gate. */
    record Ticket(PoolId pool, AttemptId id) {}

    private static final class Gate {
        private final PoolAdmission mAdmission;
        private final Map<AttemptId, Passenger> mWaiting = new HashMap<>();

        Gate(PoolAdmission admission) {
            mAdmission = admission;
        }
    }

    private final FleetView mView;
    private final ReplicaLoads mLoads;
    private final Mechanisms mMechanisms;
    private final Map<PoolId, Gate> mGates = new HashMap<>();
    private int mNodes = 1;
    private long mNextId;
    private boolean mPumping;
    private boolean mLeaving;

    private PoolGates(FleetView view, ReplicaLoads loads, Mechanisms mechanisms) {
        mView = view;
        mLoads = loads;
        mMechanisms = mechanisms;
    }

    /** Returns gates before the replicas of the view. */
    public static PoolGates create(FleetView view, ReplicaLoads loads, Mechanisms mechanisms) {
        return new PoolGates(view, loads, mechanisms);
    }

    /** Notes how many nodes there are that send to the same replicas, with this one. */
    public void onNodes(int nodes) {
        mNodes = nodes;
    }

    /** Returns a name for a request that comes to the gate of a pool. */
    Ticket ticket(PoolId pool) {
        return new Ticket(pool, AttemptId.of(RequestId.of(0, mNextId++), 1));
    }

    /** Decides about a request; its passenger is told later where it has to wait. */
    AdmissionDecision enter(Ticket ticket, PoolOffer offer, Passenger passenger, long nowNanos) {
        if (!mMechanisms.isEnabled(Mechanism.ADMISSION)) {
            return new AdmissionDecision.Admitted();
        }
        Gate gate = gate(ticket.pool(), nowNanos);
        measure(ticket.pool(), gate, nowNanos);
        AdmissionDecision decision = gate.mAdmission.offer(seenAlike(offer), nowNanos);
        if (decision instanceof AdmissionDecision.Queued) {
            gate.mWaiting.put(ticket.id(), passenger);
        }
        return decision;
    }

    /** Where an experiment tells requests of some kind not apart, they are alike here. */
    private PoolOffer seenAlike(PoolOffer offer) {
        if (mMechanisms.areAllEnabled()) {
            return offer;
        }
        return new PoolOffer(
                offer.id(),
                mMechanisms.isEnabled(Mechanism.FAIR_TEAMS) ? offer.team() : ONE_TEAM,
                mMechanisms.isEnabled(Mechanism.URGENCY) ? offer.urgency() : 0,
                offer.objectiveDeadlineNanos(),
                offer.objectiveNanos(),
                offer.deadlineNanos());
    }

    /** Notes the first piece of a replica's answer. */
    void onFirstPiece(Ticket ticket, long sentNanos, long nowNanos) {
        gate(ticket.pool(), nowNanos).mAdmission.onFirstByte(ticket.id(), sentNanos, nowNanos);
    }

    /** Notes that a replica had no room. */
    void onFull(Ticket ticket, long nowNanos) {
        gate(ticket.pool(), nowNanos).mAdmission.onReplicaFull();
    }

    /** Notes that a request is over, in whatever way, and lets others go. */
    void leave(Ticket ticket, long nowNanos) {
        Gate gate = gate(ticket.pool(), nowNanos);
        gate.mWaiting.remove(ticket.id());
        if (!gate.mAdmission.cancel(ticket.id())) {
            gate.mAdmission.onEnded(ticket.id(), nowNanos);
        }
        pump(nowNanos);
    }

    /** From now on nothing waits that cannot be in time. */
    public void beginStop(long nowNanos) {
        mLeaving = true;
        mGates.values().forEach(gate -> gate.mAdmission.beginDrain());
        pump(nowNanos);
    }

    /** Lets go what may go; also to be called every few tens of milliseconds. */
    public void pump(long nowNanos) {
        if (mPumping) {
            return;
        }
        mPumping = true;
        try {
            for (var entry : List.copyOf(mGates.entrySet())) {
                pump(entry.getKey(), entry.getValue(), nowNanos);
            }
        } finally {
            mPumping = false;
        }
    }

    /** Forgets the gates of pools that are gone. */
    public void sweep() {
        var pools = mView.pools();
        mGates.entrySet()
                .removeIf(
                        entry ->
                                !pools.contains(entry.getKey())
                                        && entry.getValue().mAdmission.isIdle());
    }

    /** Returns how many requests wait. */
    public int waiting() {
        return mGates.values().stream().mapToInt(gate -> gate.mAdmission.queued()).sum();
    }

    private void pump(PoolId pool, Gate gate, long nowNanos) {
        boolean moved = gate.mAdmission.queued() > 0;
        while (moved) {
            measure(pool, gate, nowNanos);
            var step = gate.mAdmission.poll(nowNanos);
            for (var offer : step.started()) {
                gate.mWaiting.remove(offer.id()).onAdmitted();
            }
            for (var over : step.dropped()) {
                gate.mWaiting
                        .remove(over.offer().id())
                        .onRefused(Duration.ofMillis(over.retryAfterMillis()));
            }
            moved = !step.started().isEmpty();
        }
    }

    private void measure(PoolId pool, Gate gate, long nowNanos) {
        var set = mView.pool(pool);
        double slots = set.replicas().stream().mapToDouble(Replica::weight).sum();
        gate.mAdmission.onCapacity(slots, mNodes);
        gate.mAdmission.onOccupancy(mLoads.fill(set, nowNanos));
    }

    private Gate gate(PoolId pool, long nowNanos) {
        return mGates.computeIfAbsent(
                pool,
                key -> {
                    var admission = PoolAdmission.create(mMechanisms, nowNanos);
                    if (mLeaving) {
                        admission.beginDrain();
                    }
                    return new Gate(admission);
                });
    }
}
