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
import org.fescueport.internal.decision.placement.ReplicaDirectory.Listed;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two processes watch VMs that restart, leave and flap: through lists that lag and differ, and
 * through words that come late or, while a cut lasts, not at all.
 */
class ReplicaDirectoryScheduleTest {
    private static final int SCHEDULES = 200;
    private static final int VMS = 6;
    private static final int STEPS = 600;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int QUIET_STEPS = 200;
    private static final int REPLACED_STEPS = 20;

    private record Word(int atStep, NodeId node, long incarnation, boolean leaving) {}

    /** What one process has heard and in which set that left it. */
    private static final class Watcher {
        final ReplicaDirectory mDirectory = ReplicaDirectory.create(Replicas.POOL);
        final List<Word> mUnderWay = new ArrayList<>();
        final Map<NodeId, Map<Long, Integer>> mShownAtStep = new HashMap<>();
    }

    private final Map<NodeId, Long> mIncarnations = new HashMap<>();
    private final Map<NodeId, Boolean> mListed = new HashMap<>();
    private Random mRandom;
    private long mNextIncarnation;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 20261204})
    void shouldConvergeAndNeverGoBackToAFormerIncarnation(long seed) {
        for (int i = 0; i < SCHEDULES; i++) {
            mRandom = new Random(seed * SCHEDULES + i);
            run(List.of(new Watcher(), new Watcher()));
        }
    }

    private void run(List<Watcher> watchers) {
        mIncarnations.clear();
        for (int i = 0; i < VMS; i++) {
            mIncarnations.put(NodeId.of("vm-" + i), ++mNextIncarnation);
            mListed.put(NodeId.of("vm-" + i), true);
        }
        int cutUntil = mRandom.nextInt(STEPS);
        for (int step = 0; step < STEPS; step++) {
            change(step, watchers);
            for (var watcher : watchers) {
                boolean isCut = watcher == watchers.getFirst() && step < cutUntil;
                hear(watcher, step, isCut);
                check(watcher, step);
            }
        }
        settle(watchers);
    }

    private void change(int step, List<Watcher> watchers) {
        var node = NodeId.of("vm-" + mRandom.nextInt(VMS));
        switch (mRandom.nextInt(12)) {
            case 0 -> mIncarnations.put(node, ++mNextIncarnation);
            case 1 -> mListed.put(node, mRandom.nextBoolean());
            case 2 -> say(watchers, step, node, true);
            default -> say(watchers, step, node, false);
        }
    }

    /** Each process hears a word some seconds late, so the words of two incarnations may swap. */
    private void say(List<Watcher> watchers, int step, NodeId node, boolean leaving) {
        for (var watcher : watchers) {
            int at = step + mRandom.nextInt(10);
            watcher.mUnderWay.add(new Word(at, node, mIncarnations.get(node), leaving));
        }
    }

    private void hear(Watcher watcher, int step, boolean isCut) {
        long now = step * STEP_NANOS;
        if (step % 4 == 0 || mRandom.nextInt(4) == 0) {
            watcher.mDirectory.onList(list(), now);
        }
        var due = watcher.mUnderWay.stream().filter(word -> word.atStep() <= step).toList();
        watcher.mUnderWay.removeAll(due);
        if (!isCut) {
            due.forEach(word -> hear(watcher, word, step));
        }
    }

    private static void hear(Watcher watcher, Word word, int step) {
        watcher.mDirectory.onHello(
                word.node(), word.incarnation(), word.leaving(), step * STEP_NANOS);
    }

    /** A replica that stays in the set shows no incarnation again that another has replaced. */
    private static void check(Watcher watcher, int step) {
        var replicas = watcher.mDirectory.replicas(step * STEP_NANOS).replicas();
        watcher.mShownAtStep.keySet().retainAll(replicas.stream().map(Replica::node).toList());
        for (var replica : replicas) {
            var shown = watcher.mShownAtStep.computeIfAbsent(replica.node(), n -> new HashMap<>());
            var last = shown.getOrDefault(replica.incarnation(), step);
            var wasReplaced = last < step - 1 && step - last < REPLACED_STEPS;
            assertThat(replica + " shows again at step " + step, wasReplaced, is(false));
            shown.put(replica.incarnation(), step);
        }
    }

    /** With nothing going on any more, all see the list as it is. */
    private void settle(List<Watcher> watchers) {
        for (int step = STEPS; step < STEPS + QUIET_STEPS; step++) {
            for (var watcher : watchers) {
                watcher.mDirectory.onList(list(), step * STEP_NANOS);
            }
        }
        long end = (STEPS + QUIET_STEPS) * STEP_NANOS;
        var wanted = new HashSet<NodeId>();
        list().forEach(entry -> wanted.add(entry.node()));
        for (var watcher : watchers) {
            var seen = new HashSet<NodeId>();
            watcher.mDirectory.replicas(end).replicas().forEach(it -> seen.add(it.node()));
            assertThat(seen, is(wanted));
        }
    }

    private List<Listed> list() {
        return mListed.entrySet().stream()
                .filter(Map.Entry::getValue)
                .map(
                        entry ->
                                new Listed(
                                        entry.getKey(),
                                        FailureDomain.of("fd"),
                                        entry.getKey() + ":1",
                                        1,
                                        false))
                .toList();
    }
}
