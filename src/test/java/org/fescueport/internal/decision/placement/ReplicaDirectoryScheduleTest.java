package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.ReplicaDirectory.ListedReplica;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two processes observe VMs that restart, leave, and drop out of the VM list and reappear. They
 * read the list at different times and receive the VMs' status messages late. One process is
 * isolated at first and loses the messages that arrive in this time.
 */
class ReplicaDirectoryScheduleTest {
    private static final int SCHEDULES = 200;
    private static final int VMS = 6;
    private static final int STEPS = 600;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int QUIET_STEPS = 200;
    private static final int REPLACED_STEPS = 20;

    private record StatusMessage(
            int deliveredAtStep, NodeId node, long incarnation, boolean leaving) {}

    /**
     * One process: its directory, the messages that are still in flight to it, and the last step at
     * which it returned each incarnation.
     */
    private static final class Observer {
        final ReplicaDirectory mDirectory = ReplicaDirectory.create(Replicas.POOL);
        final List<StatusMessage> mInFlight = new ArrayList<>();
        final Map<NodeId, Map<Long, Integer>> mLastSeenStep = new HashMap<>();
    }

    private final Map<NodeId, Long> mIncarnations = new HashMap<>();
    private final Map<NodeId, Boolean> mListed = new HashMap<>();
    private Random mRandom;
    private long mNextIncarnation;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 20261204})
    void shouldConvergeAndNeverRevertToAReplacedIncarnation(long seed) {
        for (int i = 0; i < SCHEDULES; i++) {
            mRandom = new Random(seed * SCHEDULES + i);
            run(List.of(new Observer(), new Observer()));
        }
    }

    private void run(List<Observer> observers) {
        mIncarnations.clear();
        for (int i = 0; i < VMS; i++) {
            mIncarnations.put(NodeId.of("vm-" + i), ++mNextIncarnation);
            mListed.put(NodeId.of("vm-" + i), true);
        }
        int isolatedUntil = mRandom.nextInt(STEPS);
        for (int step = 0; step < STEPS; step++) {
            change(step, observers);
            for (var observer : observers) {
                boolean isIsolated = observer == observers.getFirst() && step < isolatedUntil;
                deliver(observer, step, isIsolated);
                assertNotReverted(observer, step);
            }
        }
        assertConvergence(observers);
    }

    private void change(int step, List<Observer> observers) {
        var node = NodeId.of("vm-" + mRandom.nextInt(VMS));
        switch (mRandom.nextInt(12)) {
            case 0 -> mIncarnations.put(node, ++mNextIncarnation);
            case 1 -> mListed.put(node, mRandom.nextBoolean());
            case 2 -> broadcast(observers, step, node, true);
            default -> broadcast(observers, step, node, false);
        }
    }

    /**
     * Sends a status message to all processes. It arrives up to some seconds late, so messages of
     * two incarnations may arrive in the wrong order.
     */
    private void broadcast(List<Observer> observers, int step, NodeId node, boolean leaving) {
        for (var observer : observers) {
            int at = step + mRandom.nextInt(10);
            observer.mInFlight.add(new StatusMessage(at, node, mIncarnations.get(node), leaving));
        }
    }

    private void deliver(Observer observer, int step, boolean isIsolated) {
        long now = step * STEP_NANOS;
        if (step % 4 == 0 || mRandom.nextInt(4) == 0) {
            observer.mDirectory.onVmList(list(), now);
        }
        var due =
                observer.mInFlight.stream()
                        .filter(message -> message.deliveredAtStep() <= step)
                        .toList();
        observer.mInFlight.removeAll(due);
        if (!isIsolated) {
            due.forEach(message -> deliver(observer, message, step));
        }
    }

    private static void deliver(Observer observer, StatusMessage message, int step) {
        observer.mDirectory.onHello(
                message.node(), message.incarnation(), message.leaving(), step * STEP_NANOS);
    }

    /**
     * Checks that no replica that has stayed in the set returns to an incarnation that was replaced
     * less than {@link #REPLACED_STEPS} steps ago.
     */
    private static void assertNotReverted(Observer observer, int step) {
        var replicas = observer.mDirectory.replicas(step * STEP_NANOS).replicas();
        observer.mLastSeenStep.keySet().retainAll(replicas.stream().map(Replica::node).toList());
        for (var replica : replicas) {
            var lastSeen =
                    observer.mLastSeenStep.computeIfAbsent(replica.node(), n -> new HashMap<>());
            var last = lastSeen.getOrDefault(replica.incarnation(), step);
            var wasReplaced = last < step - 1 && step - last < REPLACED_STEPS;
            assertThat(replica + " reappears at step " + step, wasReplaced, is(false));
            lastSeen.put(replica.incarnation(), step);
        }
    }

    /** Checks that all processes return exactly the listed VMs once no more events occur. */
    private void assertConvergence(List<Observer> observers) {
        for (int step = STEPS; step < STEPS + QUIET_STEPS; step++) {
            for (var observer : observers) {
                observer.mDirectory.onVmList(list(), step * STEP_NANOS);
            }
        }
        long end = (STEPS + QUIET_STEPS) * STEP_NANOS;
        var expected = new HashSet<NodeId>();
        list().forEach(entry -> expected.add(entry.node()));
        for (var observer : observers) {
            var actual = new HashSet<NodeId>();
            observer.mDirectory.replicas(end).replicas().forEach(it -> actual.add(it.node()));
            assertThat(actual, is(expected));
        }
    }

    private List<ListedReplica> list() {
        return mListed.entrySet().stream()
                .filter(Map.Entry::getValue)
                .map(
                        entry ->
                                new ListedReplica(
                                        entry.getKey(),
                                        FailureDomain.of("fd"),
                                        entry.getKey() + ":1",
                                        1,
                                        false))
                .toList();
    }
}
