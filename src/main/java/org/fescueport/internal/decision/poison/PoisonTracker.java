package org.fescueport.internal.decision.poison;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.poison.PoisonRecord.Kind;

/**
 * Tracks requests that are suspected of crashing backend servers, as far as one process knows them.
 *
 * <p>A strike states that a backend server crashed while a request was in flight on it; a request
 * with a strike is a suspect. A trial is the permission to run a suspect on one backend server
 * without other requests. Strikes form a set, so they may arrive in any order and more than once,
 * both from the log and from peers. Trials come only from the log, in log order: the first trial
 * after a strike wins, and later ones are ignored while it is open.
 *
 * <pre>{@code
 * switch (tracker.admit(fingerprint, server, nowMillis)) {
 *     case PoisonAdmission.Allowed allowed -> run();
 *     case PoisonAdmission.Poison poison -> refusePermanently();
 *     ...
 * }
 * }</pre>
 */
public final class PoisonTracker {
    /** Number of backend server crashes at which a request is refused permanently. */
    public static final int MAX_CRASHES = 2;

    /**
     * Limits of the tracker.
     *
     * @param entries maximum number of tracked requests; the oldest requests with fewer than {@link
     *     #MAX_CRASHES} strikes are evicted first
     * @param retentionMillis time in milliseconds for which a request is tracked after its last
     *     strike or trial
     * @param trialTimeoutMillis time in milliseconds after which a trial without a result counts as
     *     a crash
     */
    public record Limits(int entries, long retentionMillis, long trialTimeoutMillis) {}

    private static final class Entry {
        private final Set<AgentIncarnation> mStrikes = new HashSet<>();
        private final Set<AgentIncarnation> mLoggedStrikes = new HashSet<>();
        private final Set<AgentIncarnation> mClearedServers = new HashSet<>();
        private AgentIncarnation mTrialServer;
        private long mTrialAtMillis;
        private boolean mTrialBegun;
        private long mLastEventMillis;
    }

    private final Limits mLimits;
    private final Map<Fingerprint, Entry> mEntries = new LinkedHashMap<>();

    private PoisonTracker(Limits limits) {
        mLimits = limits;
    }

    /** Returns an empty tracker. */
    public static PoisonTracker create(Limits limits) {
        return new PoisonTracker(limits);
    }

    /** Adds a strike from any source and returns whether it was new. */
    public synchronized boolean strike(
            Fingerprint fingerprint, AgentIncarnation server, long atMillis) {
        Entry entry = entry(fingerprint);
        if (entry.mClearedServers.contains(server) || !entry.mStrikes.add(server)) {
            return false;
        }
        entry.mLastEventMillis = Math.max(entry.mLastEventMillis, atMillis);
        return true;
    }

    /**
     * Applies the next record of the log and returns whether it was a new strike. Records must be
     * applied in log order.
     */
    public synchronized boolean apply(PoisonRecord record) {
        Entry entry = entry(record.fingerprint());
        return switch (record.kind()) {
            case STRIKE -> {
                if (!entry.mClearedServers.contains(record.server())) {
                    entry.mLoggedStrikes.add(record.server());
                }
                yield strike(record.fingerprint(), record.server(), record.atMillis());
            }
            case TRIAL -> {
                openTrial(entry, record);
                yield false;
            }
            case CLEARED -> {
                clear(entry, record);
                yield false;
            }
            case RELEASED -> {
                if (isCurrentTrial(entry, record)) {
                    entry.mTrialServer = null;
                }
                yield false;
            }
        };
    }

    /** Returns whether a request may run on the backend server {@code self}. */
    public synchronized PoisonAdmission admit(
            Fingerprint fingerprint, AgentIncarnation self, long nowMillis) {
        Entry entry = mEntries.get(fingerprint);
        if (entry == null || entry.mStrikes.isEmpty()) {
            return new PoisonAdmission.Allowed();
        }
        int crashes = countCrashes(entry, nowMillis);
        if (crashes >= MAX_CRASHES) {
            return new PoisonAdmission.Poison(crashes);
        }
        if (entry.mTrialServer == null) {
            return new PoisonAdmission.NeedsTrial();
        }
        boolean isOwnTrial = entry.mTrialServer.equals(self) && !entry.mTrialBegun;
        return isOwnTrial
                ? new PoisonAdmission.RunAlone()
                : new PoisonAdmission.RetryLater(mLimits.trialTimeoutMillis());
    }

    /**
     * Begins the trial of a suspect on the backend server {@code self}. Returns true only once, and
     * only for a trial that this server holds; the suspect must not run otherwise.
     */
    public synchronized boolean beginTrial(
            Fingerprint fingerprint, AgentIncarnation self, long nowMillis) {
        if (!(admit(fingerprint, self, nowMillis) instanceof PoisonAdmission.RunAlone)) {
            return false;
        }
        Entry entry = mEntries.get(fingerprint);
        Invariants.check(
                entry.mStrikes.size() < MAX_CRASHES,
                "a request that crashed %d backend servers is tried again",
                entry.mStrikes.size());
        entry.mTrialBegun = true;
        return true;
    }

    /**
     * Returns the strikes against a request as records. They must precede the record of a trial in
     * the log, because a trial counts only after a strike.
     */
    public synchronized List<PoisonRecord> strikes(Fingerprint fingerprint) {
        Entry entry = mEntries.get(fingerprint);
        return entry == null
                ? List.of()
                : entry.mStrikes.stream()
                        .map(
                                s ->
                                        new PoisonRecord(
                                                Kind.STRIKE,
                                                fingerprint,
                                                s,
                                                entry.mLastEventMillis))
                        .toList();
    }

    /** Returns the wall time, in milliseconds, of the request's last trial, or 0 if unknown. */
    public synchronized long trialAtMillis(Fingerprint fingerprint) {
        Entry entry = mEntries.get(fingerprint);
        return entry == null ? 0 : entry.mTrialAtMillis;
    }

    /**
     * Abandons the trials of the backend server {@code self} that were opened before the given time
     * and have not begun. Returns the records that release them.
     */
    public synchronized List<PoisonRecord> releaseTrials(AgentIncarnation self, long beforeMillis) {
        List<PoisonRecord> released = new ArrayList<>();
        mEntries.forEach(
                (fingerprint, entry) -> {
                    boolean isNotBegun = self.equals(entry.mTrialServer) && !entry.mTrialBegun;
                    if (isNotBegun && entry.mTrialAtMillis < beforeMillis) {
                        entry.mTrialBegun = true;
                        long at = entry.mTrialAtMillis;
                        released.add(new PoisonRecord(Kind.RELEASED, fingerprint, self, at));
                    }
                });
        return released;
    }

    /**
     * Removes a request that was answered and therefore does not crash backend servers. Returns
     * false if the request is not tracked.
     */
    public synchronized boolean forget(Fingerprint fingerprint) {
        return mEntries.remove(fingerprint) != null;
    }

    /** Removes the requests whose retention time has passed. */
    public synchronized void sweep(long nowMillis) {
        mEntries.values().removeIf(e -> nowMillis - e.mLastEventMillis > mLimits.retentionMillis());
    }

    /** Returns the number of tracked requests. */
    public synchronized int size() {
        return mEntries.size();
    }

    private int countCrashes(Entry entry, long nowMillis) {
        boolean isTrialOverdue =
                entry.mTrialServer != null
                        && !entry.mStrikes.contains(entry.mTrialServer)
                        && nowMillis - entry.mTrialAtMillis > mLimits.trialTimeoutMillis();
        return entry.mStrikes.size() + (isTrialOverdue ? 1 : 0);
    }

    /**
     * Opens a trial. Only strikes that come from the log are considered here, so that all readers
     * of the log choose the same trial.
     */
    private static void openTrial(Entry entry, PoisonRecord record) {
        if (entry.mTrialServer == null && !entry.mLoggedStrikes.isEmpty()) {
            entry.mTrialServer = record.server();
            entry.mTrialAtMillis = record.atMillis();
            entry.mTrialBegun = false;
            entry.mLastEventMillis = Math.max(entry.mLastEventMillis, record.atMillis());
        }
    }

    private static void clear(Entry entry, PoisonRecord record) {
        if (isCurrentTrial(entry, record) && !entry.mStrikes.contains(record.server())) {
            entry.mClearedServers.addAll(entry.mStrikes);
            entry.mStrikes.clear();
            entry.mLoggedStrikes.clear();
            entry.mTrialServer = null;
        }
    }

    private static boolean isCurrentTrial(Entry entry, PoisonRecord record) {
        return record.server().equals(entry.mTrialServer)
                && record.atMillis() == entry.mTrialAtMillis;
    }

    private Entry entry(Fingerprint fingerprint) {
        Entry known = mEntries.get(fingerprint);
        if (known != null) {
            return known;
        }
        if (mEntries.size() >= mLimits.entries()) {
            mEntries.remove(evictionCandidate());
        }
        Entry entry = new Entry();
        mEntries.put(fingerprint, entry);
        return entry;
    }

    private Fingerprint evictionCandidate() {
        for (Map.Entry<Fingerprint, Entry> entry : mEntries.entrySet()) {
            if (entry.getValue().mStrikes.size() < MAX_CRASHES) {
                return entry.getKey();
            }
        }
        return mEntries.keySet().iterator().next();
    }
}
