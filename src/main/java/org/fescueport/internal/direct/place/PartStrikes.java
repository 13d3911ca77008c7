package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;

/**
 * The strikes against prompt parts, and which parts are refused because of them.
 *
 * <p>A part is refused once two incarnations of replicas have crashed with it before they wrote any
 * of its answer, and no request with it has been answered since. A replica that crashes inside an
 * answer takes all answers with it that it is writing. Such crashes count for less: there must be
 * three, of which those at one time, as of a failure domain, count once, and those that a part
 * explains which is refused don't count against others. Strikes form a set in which a cleared one
 * stays cleared, so all nodes that have received the same strikes in any order agree. While few
 * replicas have crashed, a single request may try a refused part again after a random pause, as the
 * part may have been sent to crashing replicas by chance; after many crashes the pauses are long.
 * Not thread-safe; used only on the event loop.
 */
final class PartStrikes {
    /** Number of crashes before an answer from which a part is refused; one may be chance. */
    static final int MIN_CRASHES = 2;

    /** The same number if replicas have crashed inside answers too. */
    static final int MIN_CRASHES_IN_ANSWERS = 3;

    /**
     * The same number if several parts have been in equally many, or the part was answered once.
     */
    private static final int MIN_CRASHES_IF_AMBIGUOUS = 4;

    /** Crashes inside answers that follow one another more closely may have one cause outside. */
    private static final Duration SAME_CAUSE_TIME = Duration.ofMillis(500);

    /**
     * Number of crashes from which a refused part is hardly tried any more, as is one that replicas
     * crashed with inside answers; there may have been more, as only the first loss of a request
     * counts.
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

    /** How a replica crashed, and the monotonic time of the crash. */
    private record Crash(PartStrike.Evidence evidence, long atNanos) {
        boolean isUnanswered() {
            return evidence instanceof PartStrike.Evidence.Unanswered;
        }

        boolean isInAnswer() {
            return evidence instanceof PartStrike.Evidence.InAnswer;
        }

        boolean isCleared() {
            return evidence instanceof PartStrike.Evidence.Cleared;
        }

        /** Returns whether this strike is kept when both have been received. */
        boolean outweighs(Crash other) {
            return isCleared() ? !other.isCleared() : isUnanswered() && other.isInAnswer();
        }
    }

    private static final class Entry {
        /** The newest strike for each crashed incarnation. */
        private final Map<AgentIncarnation, Crash> mCrashes = new LinkedHashMap<>();

        private long mLastEventNanos;
        private long mNextTrialNanos;
        private int mTrials;

        /** Returns the number of crashes that count, of which those at one time count once. */
        int countCrashes() {
            return countCrashesExcept(Set.of());
        }

        /** Returns the same without the crashes of some incarnations. */
        int countCrashesExcept(Set<AgentIncarnation> explained) {
            return (int) except(explained).filter(Crash::isUnanswered).count()
                    + countTimes(except(explained).filter(Crash::isInAnswer));
        }

        int countUnanswered() {
            return (int) mCrashes.values().stream().filter(Crash::isUnanswered).count();
        }

        boolean hasCrashesInAnswers() {
            return mCrashes.values().stream().anyMatch(Crash::isInAnswer);
        }

        /** Returns the incarnations whose crashes count. */
        List<AgentIncarnation> crashed() {
            return mCrashes.entrySet().stream()
                    .filter(crash -> !crash.getValue().isCleared())
                    .map(Map.Entry::getKey)
                    .toList();
        }

        private Stream<Crash> except(Set<AgentIncarnation> explained) {
            return mCrashes.entrySet().stream()
                    .filter(crash -> !explained.contains(crash.getKey()))
                    .map(Map.Entry::getValue);
        }

        private static int countTimes(Stream<Crash> crashes) {
            int count = 0;
            long counted = 0;
            for (long time : crashes.mapToLong(Crash::atNanos).sorted().toArray()) {
                if (count == 0 || time - counted >= SAME_CAUSE_TIME.toNanos()) {
                    count++;
                    counted = time;
                }
            }
            return count;
        }

        /** Returns whether there is no room for further strikes that count. */
        boolean isFull() {
            return mCrashes.values().stream().filter(crash -> !crash.isCleared()).count()
                    >= MAX_STRIKES_PER_PART;
        }

        void dropOldestCleared() {
            Iterator<Crash> crashes = mCrashes.values().iterator();
            while (crashes.hasNext()) {
                if (crashes.next().isCleared()) {
                    crashes.remove();
                    return;
                }
            }
        }
    }

    private final RandomGenerator mRandom;
    private final Map<ContentHash, Entry> mEntries = new LinkedHashMap<>();

    /** Time of the last answer by part, the oldest first. */
    private final Map<ContentHash, Long> mAnsweredNanos = new LinkedHashMap<>();

    private int mNodes = 1;

    /** Parts that are refused; empty if strikes have changed since they were found. */
    private Optional<Set<ContentHash>> mRefused = Optional.empty();

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
            if (entry != null && refusedParts().contains(part.hash())) {
                entry.mLastEventNanos = nowNanos;
                refused.add(part);
            }
        }
        return refused;
    }

    private Set<ContentHash> refusedParts() {
        if (mRefused.isEmpty()) {
            mRefused = Optional.of(findRefused());
        }
        return mRefused.get();
    }

    /** Finds the refused parts, the one with the most crashes that no other explains first. */
    private Set<ContentHash> findRefused() {
        Set<ContentHash> refused = new HashSet<>();
        Set<AgentIncarnation> explained = new HashSet<>();
        mEntries.forEach(
                (part, entry) -> {
                    if (entry.countUnanswered() >= MIN_CRASHES) {
                        refused.add(part);
                        explained.addAll(entry.crashed());
                    }
                });
        List<ContentHash> next = mostCrashed(explained);
        while (!next.isEmpty()) {
            refused.addAll(next);
            next.forEach(part -> explained.addAll(mEntries.get(part).crashed()));
            next = mostCrashed(explained);
        }
        return refused;
    }

    /**
     * Returns the parts with the most crashes, if these are enough to refuse them. Of equal ones,
     * those are taken that this node has never seen answered.
     */
    private List<ContentHash> mostCrashed(Set<AgentIncarnation> explained) {
        List<ContentHash> parts = new ArrayList<>();
        int most = 0;
        for (var entry : mEntries.entrySet()) {
            int crashes = entry.getValue().countCrashesExcept(explained);
            if (crashes < minCrashes(entry.getKey()) || crashes < most) {
                continue;
            }
            if (crashes > most) {
                parts.clear();
                most = crashes;
            }
            parts.add(entry.getKey());
        }
        List<ContentHash> unanswered = parts.stream().filter(p -> !wasAnswered(p)).toList();
        List<ContentHash> left = unanswered.isEmpty() ? parts : unanswered;
        return left.size() > 1 && most < MIN_CRASHES_IF_AMBIGUOUS ? List.of() : left;
    }

    private int minCrashes(ContentHash part) {
        return wasAnswered(part) ? MIN_CRASHES_IF_AMBIGUOUS : MIN_CRASHES_IN_ANSWERS;
    }

    private boolean wasAnswered(ContentHash part) {
        return mAnsweredNanos.containsKey(part);
    }

    /** Draws a pause such that the first of all nodes tries after about the pause of one alone. */
    private long trialPauseNanos(Entry entry) {
        int crashes = entry.countCrashes();
        boolean many = crashes >= MANY_CRASHES || entry.hasCrashesInAnswers();
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
        Crash known = entry.mCrashes.get(strike.replica());
        Crash crash = new Crash(strike.evidence(), nowNanos - ageNanos(strike));
        if (known != null ? !crash.outweighs(known) : entry.isFull()) {
            return false;
        }
        if (entry.mCrashes.size() >= 2 * MAX_STRIKES_PER_PART) {
            entry.dropOldestCleared();
        }
        entry.mCrashes.put(strike.replica(), crash);
        mRefused = Optional.empty();
        entry.mLastEventNanos = nowNanos;
        if (!strike.cleared()) {
            entry.mNextTrialNanos = nowNanos + trialPauseNanos(entry);
        }
        return true;
    }

    private static long ageNanos(PartStrike strike) {
        return strike.evidence() instanceof PartStrike.Evidence.InAnswer(Duration age)
                ? age.toNanos()
                : 0;
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
        mRefused = Optional.empty();
        List<PartStrike> cleared = new ArrayList<>();
        entry.mCrashes.replaceAll(
                (replica, crash) -> {
                    if (crash.isCleared()) {
                        return crash;
                    }
                    PartStrike strike = PartStrike.of(part, replica).asCleared();
                    cleared.add(strike);
                    return new Crash(strike.evidence(), nowNanos);
                });
        return cleared;
    }

    /** Returns the number of crashes that count against a part. */
    int crashes(ContentHash part) {
        Entry entry = mEntries.get(part);
        return entry == null ? 0 : entry.countCrashes();
    }

    /** Returns all strikes, for a node that may not know them. */
    List<PartStrike> all(long nowNanos) {
        List<PartStrike> all = new ArrayList<>();
        mEntries.forEach(
                (part, entry) ->
                        entry.mCrashes.forEach(
                                (replica, crash) ->
                                        all.add(
                                                new PartStrike(
                                                        part,
                                                        replica,
                                                        evidence(crash, nowNanos)))));
        return all;
    }

    private static PartStrike.Evidence evidence(Crash crash, long nowNanos) {
        return crash.isInAnswer()
                ? new PartStrike.Evidence.InAnswer(Duration.ofNanos(nowNanos - crash.atNanos()))
                : crash.evidence();
    }

    /** Drops the strikes against parts that have not been seen for long. */
    void sweep(long nowNanos) {
        if (mEntries.values().removeIf(e -> nowNanos - e.mLastEventNanos > RETENTION.toNanos())) {
            mRefused = Optional.empty();
        }
    }

    private Entry entry(ContentHash part) {
        Entry known = mEntries.get(part);
        if (known != null) {
            return known;
        }
        if (mEntries.size() >= MAX_PARTS) {
            mEntries.remove(evictionCandidate());
            mRefused = Optional.empty();
        }
        Entry entry = new Entry();
        mEntries.put(part, entry);
        return entry;
    }

    private ContentHash evictionCandidate() {
        return mEntries.keySet().stream()
                .filter(part -> !refusedParts().contains(part))
                .findFirst()
                .orElseGet(() -> mEntries.keySet().iterator().next());
    }
}
