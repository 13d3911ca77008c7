package org.fescueport.internal.decision.attempt;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.RequestId;

/**
 * Tracks the state of every attempt that was sent to one incarnation of an agent.
 *
 * <p>The register guarantees that an attempt reported as <em>not run</em> never runs: a refusal is
 * recorded before it is reported, and every attempt must pass {@link #start} before it reaches the
 * backend server. A late or duplicate frame of a refused attempt is therefore refused as well.
 * Entries are retained for {@link Limits#retentionNanos} after the deadline. When the register is
 * full, it refuses new work; it never evicts an entry early.
 *
 * <pre>{@code
 * switch (register.submit(attempt, repeatable, deadline, now)) {
 *     case SubmitResult.Accepted accepted -> admit(attempt);
 *     case SubmitResult.Refused refused -> reportNotRun(attempt, refused.reason());
 *     case SubmitResult.Duplicate duplicate -> ignore();
 *     case SubmitResult.Unrecorded unrecorded -> reportUnknown(attempt);
 * }
 * if (register.start(attempt, now)) run(attempt);
 * }</pre>
 */
public final class AttemptRegister {
    /**
     * Limits of the register's size.
     *
     * @param maxAttempts number of entries below which new attempts are accepted
     * @param extraRefusals number of entries beyond {@code maxAttempts} that may only record
     *     refusals
     * @param retentionNanos time in nanoseconds for which an ended attempt is retained after its
     *     deadline; must be longer than any of its frames can be delayed
     */
    public record Limits(int maxAttempts, int extraRefusals, long retentionNanos) {
        int all() {
            return maxAttempts + extraRefusals;
        }
    }

    private static final class Entry {
        private final AttemptId mId;
        private final boolean mRepeatable;
        private final long mDeadlineNanos;
        private AttemptState mState;
        private RefusalReason mReason;
        private long mDueNanos;
        private long mSerial;

        /** The next older attempt at the same request; null for most requests. */
        private Entry mOlder;

        private Entry(AttemptId id, boolean repeatable, long deadlineNanos, AttemptState state) {
            mId = id;
            mRepeatable = repeatable;
            mDeadlineNanos = deadlineNanos;
            mState = state;
            mDueNanos = deadlineNanos;
        }
    }

    private final Limits mLimits;
    private final Map<RequestId, Entry> mNewest = new HashMap<>();
    private final TreeSet<Entry> mDue =
            new TreeSet<>(
                    Comparator.<Entry>comparingLong(entry -> entry.mDueNanos)
                            .thenComparingLong(entry -> entry.mSerial));
    private int mEntries;
    private long mNextSerial;

    private AttemptRegister(Limits limits) {
        mLimits = limits;
    }

    /** Returns an empty register for a new incarnation of the agent. */
    public static AttemptRegister create(Limits limits) {
        return new AttemptRegister(limits);
    }

    /**
     * Registers a submitted attempt and returns what the agent must do with it.
     *
     * @param repeatable whether the request may run more than once
     */
    public synchronized SubmitResult submit(
            AttemptId id, boolean repeatable, long deadlineNanos, long nowNanos) {
        sweep(nowNanos);
        Entry known = find(id);
        if (known != null) {
            return resultForKnown(known);
        }
        RefusalReason reason = refusalReason(id, repeatable, deadlineNanos, nowNanos);
        if (reason != null) {
            return record(id, deadlineNanos, nowNanos, reason)
                    ? new SubmitResult.Refused(reason)
                    : new SubmitResult.Unrecorded();
        }
        List<AttemptId> superseded = supersedeOlder(id, nowNanos);
        add(new Entry(id, repeatable, deadlineNanos, AttemptState.RECEIVED));
        return new SubmitResult.Accepted(superseded);
    }

    /**
     * Marks an accepted attempt as queued. Returns false if it is unknown or no longer in the state
     * {@link AttemptState#RECEIVED}, for example because it was refused in the meantime.
     */
    public synchronized boolean enqueue(AttemptId id) {
        Entry entry = find(id);
        if (entry == null || entry.mState != AttemptState.RECEIVED) {
            return false;
        }
        entry.mState = AttemptState.QUEUED;
        return true;
    }

    /**
     * Marks an attempt as started; must return true before the attempt is sent to the backend
     * server. Returns true at most once per attempt, and never for an attempt that was refused. If
     * the deadline has passed, or another attempt at a non-repeatable request has run, the attempt
     * is refused and the refusal is recorded.
     */
    public synchronized boolean start(AttemptId id, long nowNanos) {
        Entry entry = find(id);
        if (entry == null || !entry.mState.isBeforeStart()) {
            return false;
        }
        if (nowNanos - entry.mDeadlineNanos >= 0) {
            end(entry, AttemptState.REFUSED, RefusalReason.DEADLINE_PASSED, nowNanos);
            return false;
        }
        if (isBlockedByRun(entry)) {
            end(entry, AttemptState.REFUSED, RefusalReason.ALREADY_RUN, nowNanos);
            return false;
        }
        entry.mState = AttemptState.STARTED;
        checkRunsAtMostOnce(entry);
        return true;
    }

    /** Marks a started attempt as finished by the backend server. */
    public synchronized void finish(AttemptId id, long nowNanos) {
        Entry entry = find(id);
        Invariants.check(
                entry != null && entry.mState == AttemptState.STARTED,
                "attempt %s was finished at an agent that had not started it",
                id);
        end(entry, AttemptState.FINISHED, null, nowNanos);
    }

    /**
     * Records that an attempt must never run, whether or not it has arrived.
     *
     * @param deadlineNanos the latest deadline that the attempt can have; used only if the attempt
     *     is not in the register
     */
    public synchronized RefuseResult refuse(
            AttemptId id, RefusalReason reason, long deadlineNanos, long nowNanos) {
        sweep(nowNanos);
        Entry entry = find(id);
        if (entry == null) {
            return record(id, deadlineNanos, nowNanos, reason)
                    ? new RefuseResult.Recorded(reason)
                    : new RefuseResult.Unrecorded();
        }
        if (entry.mState.mayHaveRun()) {
            return new RefuseResult.AlreadyStarted(entry.mState);
        }
        if (entry.mState != AttemptState.REFUSED) {
            end(entry, AttemptState.REFUSED, reason, nowNanos);
        }
        return new RefuseResult.Recorded(entry.mReason);
    }

    /** Returns the state of an attempt, or null if the register does not hold it. */
    public synchronized AttemptState state(AttemptId id) {
        Entry entry = find(id);
        return entry == null ? null : entry.mState;
    }

    /**
     * Returns whether the register holds a newer attempt at the same request. Frames of a
     * superseded attempt are stale.
     */
    public synchronized boolean isSuperseded(AttemptId id) {
        Entry newest = mNewest.get(id.request());
        return newest != null && newest.mId.number() > id.number();
    }

    /**
     * Removes ended attempts whose retention time has passed, and refuses attempts that have not
     * started by their deadline.
     */
    public synchronized void sweep(long nowNanos) {
        while (!mDue.isEmpty() && nowNanos - mDue.first().mDueNanos >= 0) {
            Entry entry = mDue.pollFirst();
            if (entry.mState.isBeforeStart()) {
                end(entry, AttemptState.REFUSED, RefusalReason.DEADLINE_PASSED, nowNanos);
            } else if (entry.mState != AttemptState.STARTED) {
                remove(entry);
            }
        }
    }

    /** Returns the number of attempts in the register. */
    public synchronized int size() {
        return mEntries;
    }

    private static SubmitResult resultForKnown(Entry known) {
        return known.mState == AttemptState.REFUSED
                ? new SubmitResult.Refused(known.mReason)
                : new SubmitResult.Duplicate(known.mState);
    }

    private RefusalReason refusalReason(
            AttemptId id, boolean repeatable, long deadlineNanos, long nowNanos) {
        Entry newest = mNewest.get(id.request());
        if (newest != null && newest.mId.number() > id.number()) {
            return RefusalReason.SUPERSEDED;
        }
        if (anyMayHaveRun(newest) && !(repeatable && allRepeatable(newest))) {
            return RefusalReason.ALREADY_RUN;
        }
        if (nowNanos - deadlineNanos >= 0) {
            return RefusalReason.DEADLINE_PASSED;
        }
        return mEntries >= mLimits.maxAttempts() ? RefusalReason.REGISTER_FULL : null;
    }

    private List<AttemptId> supersedeOlder(AttemptId id, long nowNanos) {
        List<AttemptId> superseded = new ArrayList<>();
        for (Entry entry = mNewest.get(id.request()); entry != null; entry = entry.mOlder) {
            if (entry.mState.isBeforeStart()) {
                end(entry, AttemptState.REFUSED, RefusalReason.SUPERSEDED, nowNanos);
                superseded.add(entry.mId);
            }
        }
        return superseded;
    }

    private boolean record(AttemptId id, long deadlineNanos, long nowNanos, RefusalReason reason) {
        if (mEntries >= mLimits.all()) {
            return false;
        }
        Entry entry = new Entry(id, true, deadlineNanos, AttemptState.REFUSED);
        entry.mReason = reason;
        entry.mDueNanos = retainedUntilNanos(entry, nowNanos);
        add(entry);
        return true;
    }

    private void end(Entry entry, AttemptState state, RefusalReason reason, long nowNanos) {
        Invariants.check(
                state != AttemptState.REFUSED || entry.mState.isBeforeStart(),
                "attempt %s must not be refused after it was %s",
                entry.mId,
                entry.mState);
        mDue.remove(entry);
        entry.mState = state;
        entry.mReason = reason;
        entry.mDueNanos = retainedUntilNanos(entry, nowNanos);
        mDue.add(entry);
    }

    private long retainedUntilNanos(Entry entry, long nowNanos) {
        long untilDeadline = Math.max(0, entry.mDeadlineNanos - nowNanos);
        return nowNanos + untilDeadline + mLimits.retentionNanos();
    }

    private boolean isBlockedByRun(Entry entry) {
        Entry newest = mNewest.get(entry.mId.request());
        return anyMayHaveRun(newest) && !allRepeatable(newest);
    }

    private void checkRunsAtMostOnce(Entry started) {
        Entry newest = mNewest.get(started.mId.request());
        int runs = 0;
        for (Entry entry = newest; entry != null; entry = entry.mOlder) {
            runs += entry.mState.mayHaveRun() ? 1 : 0;
        }
        Invariants.check(
                runs == 1 || allRepeatable(newest),
                "request %s is not repeatable but was started %d times",
                started.mId.request(),
                runs);
    }

    private static boolean anyMayHaveRun(Entry newest) {
        for (Entry entry = newest; entry != null; entry = entry.mOlder) {
            if (entry.mState.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    private static boolean allRepeatable(Entry newest) {
        for (Entry entry = newest; entry != null; entry = entry.mOlder) {
            if (!entry.mRepeatable) {
                return false;
            }
        }
        return true;
    }

    private Entry find(AttemptId id) {
        Entry entry = mNewest.get(id.request());
        while (entry != null && entry.mId.number() != id.number()) {
            entry = entry.mOlder;
        }
        return entry;
    }

    private void add(Entry entry) {
        RequestId request = entry.mId.request();
        Entry newer = null;
        Entry older = mNewest.get(request);
        while (older != null && older.mId.number() > entry.mId.number()) {
            newer = older;
            older = older.mOlder;
        }
        entry.mOlder = older;
        if (newer == null) {
            mNewest.put(request, entry);
        } else {
            newer.mOlder = entry;
        }
        entry.mSerial = mNextSerial++;
        mDue.add(entry);
        mEntries++;
        Invariants.check(
                mEntries <= mLimits.all(),
                "register exceeds its capacity: it holds %d attempts",
                mEntries);
    }

    private void remove(Entry entry) {
        RequestId request = entry.mId.request();
        Entry newest = mNewest.get(request);
        if (newest != entry) {
            Entry newer = newest;
            while (newer.mOlder != entry) {
                newer = newer.mOlder;
            }
            newer.mOlder = entry.mOlder;
        } else if (entry.mOlder == null) {
            mNewest.remove(request);
        } else {
            mNewest.put(request, entry.mOlder);
        }
        mEntries--;
    }
}
