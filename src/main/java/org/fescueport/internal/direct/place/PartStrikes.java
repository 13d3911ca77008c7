package org.fescueport.internal.direct.place;

import static java.util.stream.Collectors.toSet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.direct.place.PartCrashes.Crash;

/**
 * The strikes against prompt parts, and which parts are refused because of them.
 *
 * <p>Parts are refused that explain the crashes of two incarnations of replicas before they wrote
 * any of the answer, if no request with them has been answered since ({@link CrashAttribution}). A
 * replica that crashes inside an answer takes all answers with it that it is writing. Such crashes
 * count for less, as do all against the part of a session: there must be three, of which those at
 * one time, as of a failure domain, count once. Strikes form a set in which a cleared one stays
 * cleared, so all nodes that have received the same strikes in any order agree. While few replicas
 * have crashed, a single request may try a refused part again after a random pause, as the part may
 * have been sent to crashing replicas by chance; after many crashes the pauses are long. Not
 * thread-safe; used only on the event loop.
 */
final class PartStrikes {
    /**
     * Number of crashes from which a refused part is hardly tried any more, as is one that replicas
     * crashed with inside answers; there may have been more, as those at one time count once.
     */
    static final int MANY_CRASHES = 4;

    /** Parts do not crash replicas if requests sent within this time have been answered. */
    private static final Duration SOUND_TIME = Duration.ofSeconds(3);

    /** Time for which strikes are kept after the last crash or request with the part. */
    private static final Duration RETENTION = Duration.ofMinutes(5);

    /** Pause before the first try of one node alone; doubled with each further crash and try. */
    private static final Duration TRIAL_PAUSE = Duration.ofSeconds(2);

    /** The same pause after many crashes. */
    private static final Duration LATE_TRIAL_PAUSE = Duration.ofMinutes(1);

    private static final int MAX_DOUBLINGS = 6;

    private static final int MAX_PARTS = 1_024;
    private static final int MAX_SOUND_PARTS = 4_096;

    private static final PartVerdict ALLOWED = new PartVerdict.Allowed(false);

    private static final class Entry {
        private final PartCrashes mCrashes = new PartCrashes();
        private long mLastEventNanos;
        private long mNextTrialNanos;
        private int mTrials;
    }

    private final RandomGenerator mRandom;
    private final Map<ContentHash, Entry> mEntries = new LinkedHashMap<>();

    /** When the last request was sent that has been answered, by part, the oldest answer first. */
    private final Map<ContentHash, Long> mAnsweredNanos = new LinkedHashMap<>();

    private int mNodes = 1;

    /** Parts that are refused together; empty if strikes have changed since they were found. */
    private Optional<List<Set<ContentHash>>> mCulprits = Optional.empty();

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
                return new PartVerdict.Refused(refused.getFirst());
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

    /** Returns the parts because of which a request is refused, the one that fewest share first. */
    private List<PromptPartId> refused(List<PromptPartId> parts, long nowNanos) {
        if (mEntries.isEmpty()) {
            return List.of();
        }
        Set<ContentHash> hashes = parts.stream().map(PromptPartId::hash).collect(toSet());
        Set<ContentHash> refused = new HashSet<>();
        for (Set<ContentHash> culprit : culprits()) {
            if (hashes.containsAll(culprit)) {
                refused.addAll(culprit);
            }
        }
        refused.forEach(part -> mEntries.get(part).mLastEventNanos = nowNanos);
        return parts.reversed().stream().filter(part -> refused.contains(part.hash())).toList();
    }

    private List<Set<ContentHash>> culprits() {
        if (mCulprits.isEmpty()) {
            Map<ContentHash, PartCrashes> crashes = new HashMap<>();
            mEntries.forEach((part, entry) -> crashes.put(part, entry.mCrashes));
            mCulprits = Optional.of(CrashAttribution.culprits(crashes, this::wasAnswered));
        }
        return mCulprits.get();
    }

    private boolean wasAnswered(ContentHash part) {
        return mAnsweredNanos.containsKey(part);
    }

    /** Draws a pause such that the first of all nodes tries after about the pause of one alone. */
    private long trialPauseNanos(Entry entry) {
        int crashes = entry.mCrashes.count();
        boolean many = crashes >= MANY_CRASHES || entry.mCrashes.hasWeakEvidence();
        int enough = many ? MANY_CRASHES : CrashAttribution.MIN_CRASHES;
        int doublings = Math.max(0, crashes - enough) + entry.mTrials;
        Duration pause = many ? LATE_TRIAL_PAUSE : TRIAL_PAUSE;
        long base = pause.toNanos() << Math.min(MAX_DOUBLINGS, doublings);
        return (long) (base * (0.5 + mNodes * mRandom.nextDouble()));
    }

    /** Returns whether a request with the part that was sent a short time ago was answered. */
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
        Crash crash = new Crash(strike.evidence(), nowNanos - ageNanos(strike));
        if (!entry.mCrashes.put(strike.replica(), crash)) {
            return false;
        }
        mCulprits = Optional.empty();
        entry.mLastEventNanos = nowNanos;
        if (!strike.cleared()) {
            entry.mNextTrialNanos = nowNanos + trialPauseNanos(entry);
        }
        return true;
    }

    private static long ageNanos(PartStrike strike) {
        return switch (strike.evidence()) {
            case PartStrike.Evidence.InAnswer(Duration age) -> age.toNanos();
            case PartStrike.Evidence.OfSession(Duration age) -> age.toNanos();
            case PartStrike.Evidence.Unanswered unanswered -> 0;
            case PartStrike.Evidence.Cleared cleared -> 0;
        };
    }

    /**
     * Records that a request with the part was answered, which clears the strikes from before it
     * was sent.
     *
     * @return the strikes that were cleared
     */
    List<PartStrike> onAnswered(ContentHash part, long sentAtNanos, long nowNanos) {
        Long known = mAnsweredNanos.remove(part);
        mAnsweredNanos.put(part, known == null ? sentAtNanos : Math.max(known, sentAtNanos));
        if (mAnsweredNanos.size() > MAX_SOUND_PARTS) {
            mAnsweredNanos.remove(mAnsweredNanos.keySet().iterator().next());
        }
        Entry entry = mEntries.get(part);
        if (entry == null) {
            return List.of();
        }
        mCulprits = Optional.empty();
        List<PartStrike> cleared = new ArrayList<>();
        Predicate<Crash> isEarlier = c -> !c.isCleared() && c.atNanos() - sentAtNanos <= 0;
        for (AgentIncarnation replica : entry.mCrashes.crashed(isEarlier, Set.of())) {
            PartStrike strike = PartStrike.of(part, replica).asCleared();
            entry.mCrashes.put(replica, new Crash(strike.evidence(), nowNanos));
            cleared.add(strike);
        }
        return cleared;
    }

    /** Returns the number of crashes that count against a part. */
    int crashes(ContentHash part) {
        Entry entry = mEntries.get(part);
        return entry == null ? 0 : entry.mCrashes.count();
    }

    /** Returns all strikes, for a node that may not know them. */
    List<PartStrike> all(long nowNanos) {
        List<PartStrike> all = new ArrayList<>();
        mEntries.forEach(
                (part, entry) ->
                        entry.mCrashes
                                .byReplica()
                                .forEach(
                                        (replica, crash) -> {
                                            var evidence = crash.evidenceAt(nowNanos);
                                            all.add(new PartStrike(part, replica, evidence));
                                        }));
        return all;
    }

    /** Drops the strikes against parts that have not been seen for long. */
    void sweep(long nowNanos) {
        if (mEntries.values().removeIf(e -> nowNanos - e.mLastEventNanos > RETENTION.toNanos())) {
            mCulprits = Optional.empty();
        }
    }

    private Entry entry(ContentHash part) {
        Entry known = mEntries.get(part);
        if (known != null) {
            return known;
        }
        if (mEntries.size() >= MAX_PARTS) {
            mEntries.remove(evictionCandidate());
            mCulprits = Optional.empty();
        }
        Entry entry = new Entry();
        mEntries.put(part, entry);
        return entry;
    }

    /** Returns the oldest part that only one replica crashed with, so that no flood ends others. */
    private ContentHash evictionCandidate() {
        return mEntries.entrySet().stream()
                .filter(entry -> entry.getValue().mCrashes.size() < CrashAttribution.MIN_CRASHES)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseGet(this::leastCrashed);
    }

    private ContentHash leastCrashed() {
        return Collections.min(
                mEntries.keySet(),
                Comparator.comparingInt(part -> mEntries.get(part).mCrashes.count()));
    }
}
