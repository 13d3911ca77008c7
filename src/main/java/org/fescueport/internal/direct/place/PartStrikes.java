package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;

/**
 * The strikes against prompt parts, and which parts are refused because of them.
 *
 * <p>A part is refused once two incarnations of replicas have crashed with it and no request with
 * it has been answered since. Strikes form a set in which a cleared one stays cleared, so all nodes
 * that have received the same strikes in any order agree. While few replicas have crashed, a single
 * request may try a refused part again after a random pause, as the part may have been sent to
 * crashing replicas by chance; after many crashes the pauses are long. Not thread-safe; used only
 * on the event loop.
 */
final class PartStrikes {
    /** Number of crashes from which a part is refused; one may be a coincidence. */
    static final int MIN_CRASHES = 2;

    /**
     * Number of crashes from which a refused part is hardly tried any more; there may have been
     * more, as only the first loss of a request counts.
     */
    static final int MANY_CRASHES = 4;

    /** Parts whose requests were answered within this time do not crash replicas. */
    private static final Duration SOUND_TIME = Duration.ofSeconds(5);

    /** Time for which strikes are kept after the last crash or request with the part. */
    private static final Duration RETENTION = Duration.ofMinutes(5);

    /** Pause before the first try of one node alone; doubled with each further crash and try. */
    private static final Duration TRIAL_PAUSE = Duration.ofSeconds(2);

    /** The same pause after many crashes. */
    private static final Duration LATE_TRIAL_PAUSE = Duration.ofMinutes(1);

    private static final int MAX_DOUBLINGS = 6;

    private static final int MAX_PARTS = 256;
    private static final int MAX_STRIKES_PER_PART = 16;
    private static final int MAX_SOUND_PARTS = 4_096;

    private static final PartVerdict ALLOWED = new PartVerdict.Allowed(false);

    private static final class Entry {
        /** Whether each crash of a replica has been cleared. */
        private final Map<AgentIncarnation, Boolean> mCrashes = new LinkedHashMap<>();

        private long mLastEventNanos;
        private long mNextTrialNanos;
        private int mTrials;

        int countCrashes() {
            return (int) mCrashes.values().stream().filter(cleared -> !cleared).count();
        }

        void dropOldestCleared() {
            Iterator<Boolean> cleared = mCrashes.values().iterator();
            while (cleared.hasNext()) {
                if (cleared.next()) {
                    cleared.remove();
                    return;
                }
            }
        }

        boolean isRefused() {
            return countCrashes() >= MIN_CRASHES;
        }
    }

    private final RandomGenerator mRandom;
    private final Map<ContentHash, Entry> mEntries = new LinkedHashMap<>();

    /** Time of the last answer by part, the oldest first. */
    private final Map<ContentHash, Long> mAnsweredNanos = new LinkedHashMap<>();

    private int mNodes = 1;

    private PartStrikes(RandomGenerator random) {
        mRandom = random;
    }

    static PartStrikes create(RandomGenerator random) {
        return new PartStrikes(random);
    }

    /** Sets the number of nodes that share the tries of refused parts. */
    void onNodes(int nodes) {
        mNodes = Math.max(1, nodes);
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Decides about a new request; a try that is allowed here is taken. */
    PartVerdict admit(List<PromptPartId> parts, long nowNanos) {
        List<PromptPartId> refused = refused(parts, nowNanos);
        if (refused.isEmpty()) {
            return ALLOWED;
        }
        for (PromptPartId part : refused) {
            if (nowNanos - mEntries.get(part.hash()).mNextTrialNanos < 0) {
                return new PartVerdict.Refused(part);
            }
        }
        for (PromptPartId part : refused) {
            Entry entry = mEntries.get(part.hash());
            entry.mTrials++;
            entry.mNextTrialNanos = nowNanos + trialPauseNanos(entry);
        }
        return new PartVerdict.Allowed(true);
    }

    /**
     * Returns the first part that has come to be refused since a request was allowed to try one.
     *
     * @param crashes number of crashes per part when it was allowed
     */
    Optional<PromptPartId> firstRefusedSince(
            List<PromptPartId> parts, List<Integer> crashes, long nowNanos) {
        return refused(parts, nowNanos).stream()
                .filter(part -> crashes(part.hash()) > crashes.get(parts.indexOf(part)))
                .findFirst();
    }

    /** Returns the first part that is refused, if there is one. */
    Optional<PromptPartId> firstRefused(List<PromptPartId> parts, long nowNanos) {
        return refused(parts, nowNanos).stream().findFirst();
    }

    private List<PromptPartId> refused(List<PromptPartId> parts, long nowNanos) {
        if (mEntries.isEmpty()) {
            return List.of();
        }
        List<PromptPartId> refused = new ArrayList<>();
        for (PromptPartId part : parts) {
            Entry entry = mEntries.get(part.hash());
            if (entry != null && entry.isRefused()) {
                entry.mLastEventNanos = nowNanos;
                refused.add(part);
            }
        }
        return refused;
    }

    /** Draws a pause such that the first of all nodes tries after about the pause of one alone. */
    private long trialPauseNanos(Entry entry) {
        int crashes = entry.countCrashes();
        boolean many = crashes >= MANY_CRASHES;
        int doublings = Math.max(0, crashes - (many ? MANY_CRASHES : MIN_CRASHES)) + entry.mTrials;
        Duration pause = many ? LATE_TRIAL_PAUSE : TRIAL_PAUSE;
        long base = pause.toNanos() << Math.min(MAX_DOUBLINGS, doublings);
        return (long) (base * (0.5 + mNodes * mRandom.nextDouble()));
    }

    /** Returns whether a request with the part was answered a short time ago. */
    boolean isSound(ContentHash part, long nowNanos) {
        Long answered = mAnsweredNanos.get(part);
        return answered != null && nowNanos - answered <= SOUND_TIME.toNanos();
    }

    /**
     * Adds a strike.
     *
     * @return whether it was new, so that the other nodes need to know it
     */
    boolean add(PartStrike strike, long nowNanos) {
        Entry entry = entry(strike.part());
        Boolean known = entry.mCrashes.get(strike.replica());
        boolean isFull = entry.countCrashes() >= MAX_STRIKES_PER_PART;
        if (known != null ? known || !strike.cleared() : isFull) {
            return false;
        }
        if (entry.mCrashes.size() >= 2 * MAX_STRIKES_PER_PART) {
            entry.dropOldestCleared();
        }
        entry.mCrashes.put(strike.replica(), strike.cleared());
        entry.mLastEventNanos = nowNanos;
        if (!strike.cleared()) {
            entry.mNextTrialNanos = nowNanos + trialPauseNanos(entry);
        }
        return true;
    }

    /**
     * Records that a request with the part was answered, which clears the strikes against it.
     *
     * @return the strikes that were cleared
     */
    List<PartStrike> onAnswered(ContentHash part, long nowNanos) {
        mAnsweredNanos.remove(part);
        mAnsweredNanos.put(part, nowNanos);
        if (mAnsweredNanos.size() > MAX_SOUND_PARTS) {
            mAnsweredNanos.remove(mAnsweredNanos.keySet().iterator().next());
        }
        Entry entry = mEntries.get(part);
        if (entry == null) {
            return List.of();
        }
        List<PartStrike> cleared = new ArrayList<>();
        entry.mCrashes.replaceAll(
                (replica, wasCleared) -> {
                    if (!wasCleared) {
                        cleared.add(PartStrike.of(part, replica).asCleared());
                    }
                    return true;
                });
        return cleared;
    }

    /** Returns the number of crashes that count against a part. */
    int crashes(ContentHash part) {
        Entry entry = mEntries.get(part);
        return entry == null ? 0 : entry.countCrashes();
    }

    /** Returns all strikes, for a node that may not know them. */
    List<PartStrike> all() {
        List<PartStrike> all = new ArrayList<>();
        mEntries.forEach(
                (part, entry) ->
                        entry.mCrashes.forEach(
                                (replica, cleared) ->
                                        all.add(new PartStrike(part, replica, cleared))));
        return all;
    }

    /** Drops the strikes against parts that have not been seen for long. */
    void sweep(long nowNanos) {
        mEntries.values().removeIf(e -> nowNanos - e.mLastEventNanos > RETENTION.toNanos());
    }

    private Entry entry(ContentHash part) {
        Entry known = mEntries.get(part);
        if (known != null) {
            return known;
        }
        if (mEntries.size() >= MAX_PARTS) {
            mEntries.remove(evictionCandidate());
        }
        Entry entry = new Entry();
        mEntries.put(part, entry);
        return entry;
    }

    private ContentHash evictionCandidate() {
        return mEntries.entrySet().stream()
                .filter(e -> !e.getValue().isRefused())
                .findFirst()
                .orElseGet(() -> mEntries.entrySet().iterator().next())
                .getKey();
    }
}
