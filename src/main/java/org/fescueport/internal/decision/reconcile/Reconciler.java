package org.fescueport.internal.decision.reconcile;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.NodeId;

/**
 * Brings the replicas of all models to their declared state. Replaces lost replicas, replaces
 * outdated versions a few replicas at a time, and staggers the loads so that they do not exceed the
 * rate of the weight store.
 *
 * <p>Runs on the node that holds the placement lease. Not thread-safe.
 *
 * <pre>{@code
 * var reconciler = Reconciler.create(storeBytesPerSecond, nowNanos);
 * for (var order : reconciler.plan(desired, replicas, nowNanos).orders()) {
 *     send(order, token);
 * }
 * }</pre>
 */
public final class Reconciler {
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    // A new lease holder waits until it observes the loads that the previous holder ordered.
    private static final long SETTLE_NANOS = 10 * NANOS_PER_SECOND;
    // An order whose load is not observed within this time no longer counts as pending.
    private static final long ORDER_TIMEOUT_NANOS = 30 * NANOS_PER_SECOND;

    private record PendingOrder(LoadOrder order, long sentAtNanos) {}

    private final long mBytesPerSecond;
    private final Map<NodeId, PendingOrder> mPendingOrders = new HashMap<>();
    private long mStoreBusyUntilNanos;

    private Reconciler(long bytesPerSecond, long nowNanos) {
        mBytesPerSecond = bytesPerSecond;
        mStoreBusyUntilNanos = nowNanos + SETTLE_NANOS;
    }

    /** Returns a reconciler for a weight store that delivers this rate to all its readers. */
    public static Reconciler create(long bytesPerSecond, long nowNanos) {
        return new Reconciler(bytesPerSecond, nowNanos);
    }

    /**
     * Returns the loads to start now and the models that are blocked. To be called about once per
     * second.
     *
     * @param desired the declared models
     * @param observed the last observed state of all replicas
     */
    public Plan plan(
            List<DesiredModel> desired, Collection<ObservedReplica> observed, long nowNanos) {
        var replicas = new HashMap<NodeId, ObservedReplica>();
        observed.forEach(
                replica -> replicas.put(replica.node(), withPendingOrder(replica, nowNanos)));
        mPendingOrders.keySet().retainAll(replicas.keySet());
        var orders = new ArrayList<LoadOrder>();
        while (nowNanos - mStoreBusyUntilNanos >= 0
                && orderNext(desired, replicas, nowNanos, orders)) {
            Invariants.check(orders.size() <= replicas.size(), "more load orders than replicas");
        }
        return new Plan(orders, blocked(desired, replicas));
    }

    /**
     * Reports that an order is guaranteed to have had no effect. Its replica counts with its
     * observed state again.
     */
    public void failed(LoadOrder order) {
        mPendingOrders.remove(order.node());
    }

    /**
     * Returns the replica as loading if an order to it is pending, since the load is observed only
     * some time after the order. The order is no longer pending when the artifact is served or
     * after {@link #ORDER_TIMEOUT_NANOS}.
     */
    private ObservedReplica withPendingOrder(ObservedReplica replica, long nowNanos) {
        var sent = mPendingOrders.get(replica.node());
        if (sent == null || replica.state() == ObservedReplica.State.LOADING) {
            return replica;
        }
        var done =
                replica.state() == ObservedReplica.State.READY
                        && replica.artifact().equals(sent.order().artifact());
        if (done || nowNanos - sent.sentAtNanos() > ORDER_TIMEOUT_NANOS) {
            mPendingOrders.remove(replica.node());
            return replica;
        }
        return loading(replica, sent.order());
    }

    private boolean orderNext(
            List<DesiredModel> desired,
            Map<NodeId, ObservedReplica> replicas,
            long nowNanos,
            List<LoadOrder> orders) {
        var byHealth =
                desired.stream()
                        .sorted(
                                Comparator.comparingDouble((DesiredModel w) -> health(w, replicas))
                                        .thenComparing(w -> w.model().name()))
                        .toList();
        for (var desiredModel : byHealth) {
            var modelReplicas = new ModelReplicas(desiredModel.model(), replicas.values());
            var next = modelReplicas.next();
            if (modelReplicas.matchesDeclaration() || next.isEmpty()) {
                continue;
            }
            var replica = next.get();
            var isLastServing =
                    replica.state() == ObservedReplica.State.READY
                            && modelReplicas.servingCount() <= 1;
            Invariants.check(
                    !isLastServing, "%s would lose its last replica", desiredModel.model().name());
            var order =
                    new LoadOrder(
                            replica.node(),
                            desiredModel.model().name(),
                            desiredModel.model().artifact());
            orders.add(order);
            mPendingOrders.put(replica.node(), new PendingOrder(order, nowNanos));
            replicas.put(replica.node(), loading(replica, order));
            reserve(desiredModel.artifactBytes(), nowNanos);
            return true;
        }
        return false;
    }

    private void reserve(long bytes, long nowNanos) {
        var start = Math.max(nowNanos, mStoreBusyUntilNanos);
        var seconds = (double) bytes / mBytesPerSecond;
        mStoreBusyUntilNanos = start + (long) Math.ceil(seconds * NANOS_PER_SECOND);
    }

    private static double health(DesiredModel desired, Map<NodeId, ObservedReplica> replicas) {
        return new ModelReplicas(desired.model(), replicas.values()).health();
    }

    private static ObservedReplica loading(ObservedReplica replica, LoadOrder order) {
        return new ObservedReplica(
                replica.node(),
                replica.domain(),
                replica.pool(),
                ObservedReplica.State.LOADING,
                order.artifact());
    }

    private static List<String> blocked(
            List<DesiredModel> desired, Map<NodeId, ObservedReplica> replicas) {
        var blocked = new ArrayList<String>();
        for (var desiredModel : desired) {
            var modelReplicas = new ModelReplicas(desiredModel.model(), replicas.values());
            var isLoading =
                    replicas.values().stream()
                            .filter(r -> r.pool().equals(desiredModel.model().pool()))
                            .anyMatch(r -> r.state() == ObservedReplica.State.LOADING);
            if (!modelReplicas.matchesDeclaration()
                    && modelReplicas.next().isEmpty()
                    && !isLoading) {
                blocked.add(
                        desiredModel.model().name()
                                + ": no VM is left to load it on; add one to its pool");
            }
        }
        return blocked;
    }
}
