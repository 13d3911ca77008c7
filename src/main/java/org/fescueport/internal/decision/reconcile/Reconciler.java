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
 * Brings the replicas of all models to what is declared: makes losses good, replaces versions a few
 * at a time, and staggers loads within the weight store's rate.
 *
 * <p>Runs on the node that holds the lease for placement. Not thread-safe.
 *
 * <pre>{@code
 * var reconciler = Reconciler.create(storeBytesPerSecond, nowNanos);
 * for (var order : reconciler.plan(wanted, replicas, nowNanos).orders()) {
 *     send(order, token);
 * }
 * }</pre>
 */
public final class Reconciler {
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    // Loads that the former holder ordered have to show first.
    private static final long SETTLE_NANOS = 10 * NANOS_PER_SECOND;
    private static final long FORGET_NANOS = 30 * NANOS_PER_SECOND;

    private record Sent(LoadOrder order, long atNanos) {}

    private final long mBytesPerSecond;
    private final Map<NodeId, Sent> mSent = new HashMap<>();
    private long mStoreBusyUntilNanos;

    private Reconciler(long bytesPerSecond, long nowNanos) {
        mBytesPerSecond = bytesPerSecond;
        mStoreBusyUntilNanos = nowNanos + SETTLE_NANOS;
    }

    /** Returns a reconciler for a weight store of this rate. */
    public static Reconciler create(long bytesPerSecond, long nowNanos) {
        return new Reconciler(bytesPerSecond, nowNanos);
    }

    /** Returns what to do now; call it every second or so. */
    public Plan plan(List<Wanted> wanted, Collection<Replica> seen, long nowNanos) {
        var replicas = new HashMap<NodeId, Replica>();
        seen.forEach(replica -> replicas.put(replica.node(), asOrdered(replica, nowNanos)));
        mSent.keySet().retainAll(replicas.keySet());
        var orders = new ArrayList<LoadOrder>();
        while (nowNanos - mStoreBusyUntilNanos >= 0
                && orderNext(wanted, replicas, nowNanos, orders)) {
            Invariants.check(orders.size() <= replicas.size(), "more loads than replicas");
        }
        return new Plan(orders, blocked(wanted, replicas));
    }

    /** Hears that an order surely had no effect, so that its replica counts as it is seen. */
    public void failed(LoadOrder order) {
        mSent.remove(order.node());
    }

    /** A replica counts as loading from the order on, though it is seen so only later. */
    private Replica asOrdered(Replica replica, long nowNanos) {
        var sent = mSent.get(replica.node());
        if (sent == null || replica.state() == Replica.State.LOADING) {
            return replica;
        }
        var done =
                replica.state() == Replica.State.READY
                        && replica.artifact().equals(sent.order().artifact());
        if (done || nowNanos - sent.atNanos() > FORGET_NANOS) {
            mSent.remove(replica.node());
            return replica;
        }
        return loading(replica, sent.order());
    }

    private boolean orderNext(
            List<Wanted> wanted,
            Map<NodeId, Replica> replicas,
            long nowNanos,
            List<LoadOrder> orders) {
        var neediest =
                wanted.stream()
                        .sorted(
                                Comparator.comparingDouble((Wanted w) -> health(w, replicas))
                                        .thenComparing(w -> w.model().name()))
                        .toList();
        for (var one : neediest) {
            var view = new PoolView(one.model(), replicas.values());
            var next = view.next();
            if (view.isAsDeclared() || next.isEmpty()) {
                continue;
            }
            var replica = next.get();
            var isLast = replica.state() == Replica.State.READY && view.serving() <= 1;
            Invariants.check(!isLast, "%s would lose its last replica", one.model().name());
            var order = new LoadOrder(replica.node(), one.model().name(), one.model().artifact());
            orders.add(order);
            mSent.put(replica.node(), new Sent(order, nowNanos));
            replicas.put(replica.node(), loading(replica, order));
            reserve(one.artifactBytes(), nowNanos);
            return true;
        }
        return false;
    }

    private void reserve(long bytes, long nowNanos) {
        var start = Math.max(nowNanos, mStoreBusyUntilNanos);
        var seconds = (double) bytes / mBytesPerSecond;
        mStoreBusyUntilNanos = start + (long) Math.ceil(seconds * NANOS_PER_SECOND);
    }

    private static double health(Wanted wanted, Map<NodeId, Replica> replicas) {
        return new PoolView(wanted.model(), replicas.values()).health();
    }

    private static Replica loading(Replica replica, LoadOrder order) {
        return new Replica(
                replica.node(),
                replica.domain(),
                replica.pool(),
                Replica.State.LOADING,
                order.artifact());
    }

    private static List<String> blocked(List<Wanted> wanted, Map<NodeId, Replica> replicas) {
        var blocked = new ArrayList<String>();
        for (var one : wanted) {
            var view = new PoolView(one.model(), replicas.values());
            var loads =
                    replicas.values().stream()
                            .filter(r -> r.pool().equals(one.model().pool()))
                            .anyMatch(r -> r.state() == Replica.State.LOADING);
            if (!view.isAsDeclared() && view.next().isEmpty() && !loads) {
                blocked.add(
                        one.model().name() + ": there is no VM to load on; add one to its pool");
            }
        }
        return blocked;
    }
}
