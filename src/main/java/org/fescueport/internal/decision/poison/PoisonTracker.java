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
 * What one process knows of requests that backend servers died of.
 *
 * <p>Strikes are a set, so they may come in any order, twice, from the log and from peers. Trials
 * are taken from the log alone, in its order: the first one after a strike is the only one.
 *
 * <pre>{@code
 * switch (book.admit(fingerprint, server, nowMillis)) {
 *     case Admission.Free free -> run();
 *     case Admission.Poison poison -> refuseForGood();
 *     ...
 * }
 * }</pre>
 */
public final class PoisonTracker {
    /** Deaths after which a request is refused for good. */
    public static final int MAX_DEATHS = 2;

    /**
     * Bounds of the memory.
     *
     * @param entries requests that are remembered; the oldest suspects go first
     * @param retentionMillis time after the last strike for which a request is remembered
     * @param trialTimeoutMillis time after which a trial without an end counts as a death
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

    /** Returns an empty book. */
    public static PoisonTracker create(Limits limits) {
        return new PoisonTracker(limits);
    }

    /** Takes a strike in, from wherever; returns whether it was new. */
    public synchronized boolean strike(
            Fingerprint fingerprint, AgentIncarnation server, long atMillis) {
        Entry entry = entry(fingerprint);
        if (entry.mClearedServers.contains(server) || !entry.mStrikes.add(server)) {
            return false;
        }
        entry.mLastEventMillis = Math.max(entry.mLastEventMillis, atMillis);
        return true;
    }

    /** Takes a record of the log in, in the log's order; returns whether it was a new strike. */
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

    /** Tells whether a request may run on this server. */
    public synchronized PoisonAdmission admit(
            Fingerprint fingerprint, AgentIncarnation self, long nowMillis) {
        Entry entry = mEntries.get(fingerprint);
        if (entry == null || entry.mStrikes.isEmpty()) {
            return new PoisonAdmission.Allowed();
        }
        int deaths = deaths(entry, nowMillis);
        if (deaths >= MAX_DEATHS) {
            return new PoisonAdmission.Poison(deaths);
        }
        if (entry.mTrialServer == null) {
            return new PoisonAdmission.NeedsTrial();
        }
        boolean isOwnTrial = entry.mTrialServer.equals(self) && !entry.mTrialBegun;
        return isOwnTrial
                ? new PoisonAdmission.RunAlone()
                : new PoisonAdmission.RetryLater(mLimits.trialTimeoutMillis());
    }

    /** The gate before a suspect's trial: returns true once for a trial that this server holds. */
    public synchronized boolean beginTrial(
            Fingerprint fingerprint, AgentIncarnation self, long nowMillis) {
        if (!(admit(fingerprint, self, nowMillis) instanceof PoisonAdmission.RunAlone)) {
            return false;
        }
        Entry entry = mEntries.get(fingerprint);
        Invariants.check(
                entry.mStrikes.size() < MAX_DEATHS,
                "a request that %d servers died of is tried again",
                entry.mStrikes.size());
        entry.mTrialBegun = true;
        return true;
    }

    /** Returns the strikes against a request as records; a trial's record is put behind them. */
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

    /** Returns when the trial was opened that this server has begun. */
    public synchronized long trialAtMillis(Fingerprint fingerprint) {
        Entry entry = mEntries.get(fingerprint);
        return entry == null ? 0 : entry.mTrialAtMillis;
    }

    /**
     * Gives up this server's trials that were not begun since the given time, and returns the
     * records that tell so.
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

    /** Forgets a request that was answered, so that nobody dies of it; false if unknown. */
    public synchronized boolean forget(Fingerprint fingerprint) {
        return mEntries.remove(fingerprint) != null;
    }

    /** Forgets what is too old. */
    public synchronized void sweep(long nowMillis) {
        mEntries.values().removeIf(e -> nowMillis - e.mLastEventMillis > mLimits.retentionMillis());
    }

    /** Returns how many requests are remembered. */
    public synchronized int size() {
        return mEntries.size();
    }

    private int deaths(Entry entry, long nowMillis) {
        boolean isTrialOverdue =
                entry.mTrialServer != null
                        && !entry.mStrikes.contains(entry.mTrialServer)
                        && nowMillis - entry.mTrialAtMillis > mLimits.trialTimeoutMillis();
        return entry.mStrikes.size() + (isTrialOverdue ? 1 : 0);
    }

    /** Only strikes of the log count here, so that all readers of the log agree. */
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
            if (entry.getValue().mStrikes.size() < MAX_DEATHS) {
                return entry.getKey();
            }
        }
        return mEntries.keySet().iterator().next();
    }
}
