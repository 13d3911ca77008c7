package org.fescueport.internal.direct.log;

import io.micrometer.core.instrument.Clock;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One line of JSON for each decision, written by a thread of its own.
 *
 * <p>Adding a line never waits: each second has a budget of lines, and what does not fit is counted
 * and told in a line of its own once there is room again. Lines about a lost or regained dependency
 * have a second budget of the same size, so that requests cannot crowd them out.
 *
 * <pre>{@code
 * log.decision("sent").with("request", id).with("replica", replica).write();
 * }</pre>
 */
public final class EventLog implements AutoCloseable {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long DRAIN_INTERVAL_MS = 100;

    private final Object mLock = new Object();
    private final Deque<String> mLines = new ArrayDeque<>();
    private final AtomicLong mLeftOut = new AtomicLong();
    private final OutputStream mOutput;
    private final Clock mClock;
    private final String mNode;
    private final int mLinesPerSecond;
    private long mSecondStart;
    private int mDecisions;
    private int mChanges;
    private boolean mClosed;
    private Thread mWriter;

    private EventLog(OutputStream output, Clock clock, String node, int linesPerSecond) {
        mOutput = output;
        mClock = clock;
        mNode = node;
        mLinesPerSecond = linesPerSecond;
        mSecondStart = clock.monotonicTime();
    }

    /**
     * Returns a log whose writer thread has been started.
     *
     * @param linesPerSecond most lines a second, of decisions and of changes each
     */
    public static EventLog start(
            OutputStream output, Clock clock, String node, int linesPerSecond) {
        var log = new EventLog(output, clock, node, linesPerSecond);
        log.mWriter = new Thread(log::writeLines, "event-log");
        log.mWriter.setDaemon(true);
        log.mWriter.start();
        return log;
    }

    /** Begins a line about one request. */
    public LogLine decision(String event) {
        return new LogLine(this, event, false);
    }

    /** Begins a line about a start, a stop, or a dependency that was lost or regained. */
    public LogLine change(String event) {
        return new LogLine(this, event, true);
    }

    /** Returns how many lines were left out so far. */
    public long leftOut() {
        return mLeftOut.get();
    }

    /** Writes what is waiting and stops the writer. */
    @Override
    public void close() {
        synchronized (mLock) {
            mClosed = true;
            mLock.notifyAll();
        }
        try {
            mWriter.join(DRAIN_INTERVAL_MS * 5);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String node() {
        return mNode;
    }

    long wallMillis() {
        return mClock.wallTime();
    }

    /** Returns whether the budget of this second allows one more line. */
    boolean take(boolean change) {
        synchronized (mLock) {
            renewBudget();
            int used = change ? mChanges : mDecisions;
            if (used >= mLinesPerSecond) {
                mLeftOut.incrementAndGet();
                return false;
            }
            if (change) {
                mChanges++;
            } else {
                mDecisions++;
            }
            return true;
        }
    }

    void add(String line) {
        synchronized (mLock) {
            if (!enqueue(line)) {
                mLeftOut.incrementAndGet();
            }
        }
    }

    /** The only way into the queue: the writer sleeps while it is empty, and only then. */
    private boolean enqueue(String line) {
        if (mLines.size() >= 4 * mLinesPerSecond) {
            return false;
        }
        mLines.add(line);
        if (mLines.size() == 1) {
            mLock.notifyAll();
        }
        return true;
    }

    private void renewBudget() {
        long now = mClock.monotonicTime();
        if (now - mSecondStart < SECOND_NANOS) {
            return;
        }
        mSecondStart = now;
        mDecisions = 0;
        mChanges = 0;
        tellLeftOut();
    }

    private void tellLeftOut() {
        long leftOut = mLeftOut.get();
        if (leftOut == 0) {
            return;
        }
        String line = new LogLine(this, "lines-left-out", true).with("count", leftOut).text();
        if (enqueue(line)) {
            mLeftOut.addAndGet(-leftOut);
        }
    }

    private void writeLines() {
        var text = new StringBuilder();
        try {
            while (takeLines(text)) {
                mOutput.write(text.toString().getBytes(StandardCharsets.UTF_8));
                mOutput.flush();
                text.setLength(0);
            }
        } catch (IOException | InterruptedException e) {
            // Without an output there is nowhere to tell it; the counter of lines left out grows.
            synchronized (mLock) {
                mLeftOut.addAndGet(mLines.size());
                mLines.clear();
            }
        }
    }

    /** Waits for a line, then a little longer, so that many lines share one write. */
    private boolean takeLines(StringBuilder text) throws InterruptedException {
        synchronized (mLock) {
            while (mLines.isEmpty() && !mClosed) {
                mLock.wait();
            }
            if (!mClosed) {
                mLock.wait(DRAIN_INTERVAL_MS);
            }
            for (String line = mLines.poll(); line != null; line = mLines.poll()) {
                text.append(line).append('\n');
            }
            return !text.isEmpty() || !mClosed;
        }
    }
}
