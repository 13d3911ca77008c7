package org.fescueport.internal.decision.reconcile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.WorkKind;
import org.fescueport.internal.decision.reconcile.ObservedReplica.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReconcilerTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long BYTES_PER_SECOND = 100;
    private static final long BYTES = 1_000;
    private static final long SETTLED_NANOS = 10 * NANOS_PER_SECOND;

    private final Reconciler mReconciler = Reconciler.create(BYTES_PER_SECOND, 0);

    @Test
    void shouldWaitUntilLoadsOfThePreviousHolderAreVisible() {
        var replicas = List.of(replica(1, State.EMPTY, ""));
        assertThat(plan(1, "v1", replicas, SETTLED_NANOS - 1).orders(), is(empty()));
        assertThat(plan(1, "v1", replicas, SETTLED_NANOS).orders(), hasSize(1));
    }

    @Test
    void shouldStaggerLoadsWithinTheStoresRate() {
        var replicas =
                List.of(
                        replica(1, State.EMPTY, ""),
                        replica(2, State.EMPTY, ""),
                        replica(3, State.EMPTY, ""));
        assertThat(plan(3, "v1", replicas, SETTLED_NANOS).orders(), hasSize(1));
        assertThat(
                plan(3, "v1", replicas, SETTLED_NANOS + 10 * NANOS_PER_SECOND - 1).orders(),
                is(empty()));
        var second = plan(3, "v1", replicas, SETTLED_NANOS + 10 * NANOS_PER_SECOND).orders();
        assertThat(second.getFirst().node(), is(NodeId.of("vm-2")));
    }

    @Test
    void shouldReplaceLostReplicaInTheDomainWithTheFewest() {
        var replicas =
                List.of(
                        replica(1, State.READY, "v1"),
                        replica(4, State.EMPTY, ""),
                        replica(2, State.EMPTY, ""));
        var orders = plan(2, "v1", replicas, SETTLED_NANOS).orders();
        assertThat(orders, is(List.of(new LoadOrder(NodeId.of("vm-2"), "notes", "v1"))));
    }

    @Test
    void shouldNotReloadTheOnlyReplicaButReportTheModelAsBlocked() {
        var plan = plan(1, "v2", List.of(replica(1, State.READY, "v1")), SETTLED_NANOS);
        assertThat(plan.orders(), is(empty()));
        assertThat(plan.blocked(), hasSize(1));
    }

    @Test
    void shouldLoadAnEmptyVmToReplaceTheOnlyReplica() {
        var replicas = List.of(replica(1, State.READY, "v1"), replica(2, State.EMPTY, ""));
        var orders = plan(1, "v2", replicas, SETTLED_NANOS).orders();
        assertThat(orders.getFirst().node(), is(NodeId.of("vm-2")));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldRollOutEachVersionThroughLossesWithoutAnOutage(int seed) {
        var random = new Random(seed);
        var desired = 2 + random.nextInt(8);
        var fleet = new HashMap<Integer, ObservedReplica>();
        for (var vm = 0; vm < desired + 1; vm++) {
            fleet.put(vm, replica(vm, State.READY, "v0"));
        }
        var started = new ArrayList<Long>();
        var finishAt = new HashMap<Integer, Long>();
        var nextVm = fleet.size();
        for (var second = 10; second < 2_000; second++) {
            var version = "v" + Math.min(3, 1 + second / 400);
            finishLoads(fleet, finishAt, second);
            // Occasionally replaces a VM with an empty one, if enough replicas remain.
            if (second < 1_500 && random.nextInt(200) == 0 && servingCount(fleet) > desired - 1) {
                var lost = new ArrayList<>(fleet.keySet()).get(random.nextInt(fleet.size()));
                fleet.remove(lost);
                finishAt.remove(lost);
                fleet.put(nextVm, replica(nextVm, State.EMPTY, ""));
                nextVm++;
            }
            var before = servingCount(fleet);
            for (var order :
                    plan(desired, version, fleet.values(), second * NANOS_PER_SECOND).orders()) {
                var vm = Integer.parseInt(order.node().name().substring(3));
                fleet.put(vm, replica(vm, State.LOADING, order.artifact()));
                finishAt.put(vm, second + 12L);
                started.add((long) second);
            }
            assertThat(
                    "the last serving replica was taken out of service",
                    servingCount(fleet),
                    greaterThanOrEqualTo(Math.min(before, 1)));
        }
        for (var i = 1; i < started.size(); i++) {
            assertThat(
                    started.get(i) - started.get(i - 1),
                    greaterThanOrEqualTo(BYTES / BYTES_PER_SECOND));
        }
        var onNewestVersion =
                fleet.values().stream().filter(r -> r.artifact().equals("v3")).count();
        assertThat(onNewestVersion, greaterThanOrEqualTo((long) desired));
        assertThat(fleet.values().stream().filter(r -> r.artifact().equals("v1")).count(), is(0L));
        assertThat(started.size(), lessThanOrEqualTo(200));
    }

    private static void finishLoads(
            Map<Integer, ObservedReplica> fleet, Map<Integer, Long> finishAt, int second) {
        for (var vm : List.copyOf(finishAt.keySet())) {
            if (finishAt.get(vm) <= second) {
                finishAt.remove(vm);
                fleet.put(vm, replica(vm, State.READY, fleet.get(vm).artifact()));
            }
        }
    }

    private static int servingCount(Map<Integer, ObservedReplica> fleet) {
        return (int) fleet.values().stream().filter(r -> r.state() == State.READY).count();
    }

    private Plan plan(
            int desired, String version, java.util.Collection<ObservedReplica> replicas, long now) {
        var work = Map.of("note", new WorkKind("note", 0, Duration.ofSeconds(1)));
        var model =
                new ModelDeclaration(
                        "notes", PoolId.of("notes"), 1.5, work, "note", true, desired, version);
        return mReconciler.plan(List.of(new DesiredModel(model, BYTES)), replicas, now);
    }

    private static ObservedReplica replica(int vm, State state, String artifact) {
        return new ObservedReplica(
                NodeId.of("vm-" + vm),
                FailureDomain.of("fd-" + vm % 3),
                PoolId.of("notes"),
                state,
                artifact);
    }
}
