package org.fescueport.internal.supervision;

import io.micrometer.core.instrument.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts its children in order, restarts one that fails, and fails itself when a child keeps
 * failing.
 *
 * <pre>{@code
 * var root = Supervisor.of("router", RestartPolicy.standard(), executor, clock)
 *         .add(Worker.periodic("vm-list", Duration.ofSeconds(1), executor, list::refresh))
 *         .add(Worker.of("http", onFailure -> server.start()));
 * root.start(cause -> System.exit(ExitCode.GAVE_UP));
 * }</pre>
 */
public final class Supervisor implements Child {
    private static final Logger LOG = LoggerFactory.getLogger(Supervisor.class);

    private enum State {
        STOPPED,
        RUNNING,
        WAITING,
        FAILED
    }

    private static final class Entry {
        private final Child mChild;
        private final Deque<Long> mRestartNanos = new ArrayDeque<>();
        private State mState = State.STOPPED;
        private int mGeneration;

        private Entry(Child child) {
            mChild = child;
        }
    }

    private final String mName;
    private final RestartPolicy mPolicy;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final List<Entry> mEntries = new ArrayList<>();
    private FailureListener mParent;
    private boolean mRunning;

    private Supervisor(
            String name, RestartPolicy policy, ScheduledExecutorService executor, Clock clock) {
        mName = name;
        mPolicy = policy;
        mExecutor = executor;
        mClock = clock;
    }

    /** Returns a supervisor without children. */
    public static Supervisor of(
            String name, RestartPolicy policy, ScheduledExecutorService executor, Clock clock) {
        return new Supervisor(name, policy, executor, clock);
    }

    /** Adds a child; children start in the order they were added and stop in the reverse order. */
    public synchronized Supervisor add(Child child) {
        mEntries.add(new Entry(child));
        return this;
    }

    @Override
    public String name() {
        return mName;
    }

    @Override
    public synchronized void start(FailureListener onFailure) throws Exception {
        mParent = onFailure;
        mRunning = true;
        for (var entry : mEntries) {
            startChild(entry);
        }
    }

    @Override
    public synchronized void stop() {
        mRunning = false;
        for (var entry : mEntries.reversed()) {
            entry.mGeneration++;
            entry.mState = State.STOPPED;
            entry.mChild.stop();
        }
    }

    /** Returns the tree as text, a line for each node with its state and restarts. */
    public String tree() {
        var text = new StringBuilder(mName).append('\n');
        appendChildren(text, "  ");
        return text.toString();
    }

    private synchronized void appendChildren(StringBuilder text, String indent) {
        for (var entry : mEntries) {
            text.append(indent).append(entry.mChild.name());
            text.append(" [").append(entry.mState.name().toLowerCase(java.util.Locale.ROOT));
            text.append(", restarts ").append(entry.mRestartNanos.size()).append("]\n");
            switch (entry.mChild) {
                case Supervisor supervisor -> supervisor.appendChildren(text, indent + "  ");
                case Worker ignored -> {
                    // A leaf has nothing below it.
                }
            }
        }
    }

    private void startChild(Entry entry) throws Exception {
        int generation = ++entry.mGeneration;
        entry.mChild.start(cause -> onChildFailure(entry, generation, cause));
        entry.mState = State.RUNNING;
    }

    private synchronized void onChildFailure(Entry entry, int generation, Throwable cause) {
        if (!mRunning || generation != entry.mGeneration) {
            return;
        }
        entry.mGeneration++;
        entry.mChild.stop();
        scheduleRestart(entry, cause);
    }

    private void scheduleRestart(Entry entry, Throwable cause) {
        int restarts = restartsInWindow(entry);
        if (restarts >= mPolicy.restarts()) {
            entry.mState = State.FAILED;
            giveUp(entry, cause);
            return;
        }
        entry.mState = State.WAITING;
        entry.mRestartNanos.addLast(mClock.monotonicTime());
        var delay = mPolicy.delayAfter(restarts);
        LOG.warn(
                "{}/{} failed and restarts in {} ms",
                mName,
                entry.mChild.name(),
                delay.toMillis(),
                cause);
        int generation = entry.mGeneration;
        mExecutor.schedule(() -> restart(entry, generation), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private synchronized void restart(Entry entry, int generation) {
        if (!mRunning || generation != entry.mGeneration) {
            return;
        }
        try {
            startChild(entry);
        } catch (Exception e) {
            entry.mGeneration++;
            scheduleRestart(entry, e);
        }
    }

    private int restartsInWindow(Entry entry) {
        long oldest = mClock.monotonicTime() - mPolicy.window().toNanos();
        while (!entry.mRestartNanos.isEmpty() && entry.mRestartNanos.peekFirst() < oldest) {
            entry.mRestartNanos.removeFirst();
        }
        return entry.mRestartNanos.size();
    }

    private void giveUp(Entry entry, Throwable cause) {
        LOG.error("{}/{} keeps failing; {} gives up", mName, entry.mChild.name(), mName, cause);
        stop();
        mParent.onFailure(cause);
    }
}
