package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/** The crashes of replicas that one prompt part was in. */
final class PartCrashes {
    /** Crashes inside answers that follow one another more closely may have one cause outside. */
    private static final Duration SAME_CAUSE_TIME = Duration.ofMillis(500);

    private static final int MAX_CRASHES = 16;

    /** How a replica crashed, and the monotonic time of the crash. */
    record Crash(PartStrike.Evidence evidence, long atNanos) {
        boolean isUnanswered() {
            return evidence instanceof PartStrike.Evidence.Unanswered;
        }

        /** Returns whether it counts once with others at the same time. */
        boolean isWeak() {
            return switch (evidence) {
                case PartStrike.Evidence.InAnswer inAnswer -> true;
                case PartStrike.Evidence.OfSession ofSession -> true;
                case PartStrike.Evidence.Unanswered unanswered -> false;
                case PartStrike.Evidence.Cleared cleared -> false;
            };
        }

        boolean isOfSession() {
            return evidence instanceof PartStrike.Evidence.OfSession;
        }

        /** Returns the evidence as it is to be told at a later time. */
        PartStrike.Evidence evidenceAt(long nowNanos) {
            Duration age = Duration.ofNanos(nowNanos - atNanos);
            return switch (evidence) {
                case PartStrike.Evidence.InAnswer inAnswer -> new PartStrike.Evidence.InAnswer(age);
                case PartStrike.Evidence.OfSession ofSession ->
                        new PartStrike.Evidence.OfSession(age);
                case PartStrike.Evidence.Unanswered unanswered -> unanswered;
                case PartStrike.Evidence.Cleared cleared -> cleared;
            };
        }

        boolean isCleared() {
            return evidence instanceof PartStrike.Evidence.Cleared;
        }

        /** Returns whether this strike is kept when both have been received. */
        boolean outweighs(Crash other) {
            return isCleared() ? !other.isCleared() : isUnanswered() && other.isWeak();
        }
    }

    /** The newest strike for each crashed incarnation. */
    private final Map<AgentIncarnation, Crash> mCrashes = new LinkedHashMap<>();

    /**
     * Records a crash.
     *
     * @return whether it changes what is known
     */
    boolean put(AgentIncarnation replica, Crash crash) {
        Crash known = mCrashes.get(replica);
        if (known != null ? !crash.outweighs(known) : isFull()) {
            return false;
        }
        if (mCrashes.size() >= 2 * MAX_CRASHES) {
            dropOldestCleared();
        }
        mCrashes.put(replica, crash);
        return true;
    }

    Map<AgentIncarnation, Crash> byReplica() {
        return mCrashes;
    }

    /** Returns the number of crashes that are kept, cleared ones too. */
    int size() {
        return mCrashes.size();
    }

    /** Returns the number of crashes that count, of which those at one time count once. */
    int count() {
        return count(mCrashes.keySet());
    }

    /** Returns the same of some incarnations. */
    int count(Collection<AgentIncarnation> replicas) {
        return countUnanswered(replicas) + countTimes(of(replicas).filter(Crash::isWeak));
    }

    private int countUnanswered(Collection<AgentIncarnation> replicas) {
        return (int) of(replicas).filter(Crash::isUnanswered).count();
    }

    /** Returns the number of these crashes that came before an answer. */
    int countBeforeAnswers(Collection<AgentIncarnation> replicas) {
        return (int) of(replicas).filter(c -> c.isUnanswered() || c.isOfSession()).count();
    }

    /**
     * Returns whether it is the part of a session that had no answer yet at any of these crashes.
     */
    boolean isOfSessionIn(Set<AgentIncarnation> replicas) {
        return mCrashes.size() >= replicas.size()
                && of(replicas).allMatch(crash -> crash != null && crash.isOfSession());
    }

    boolean hasWeakEvidence() {
        return mCrashes.values().stream().anyMatch(Crash::isWeak);
    }

    /** Returns the incarnations whose crashes fulfil a condition, but for those left out. */
    Set<AgentIncarnation> crashed(Predicate<Crash> condition, Set<AgentIncarnation> leftOut) {
        Set<AgentIncarnation> crashed = new LinkedHashSet<>();
        mCrashes.forEach(
                (replica, crash) -> {
                    if (condition.test(crash) && !leftOut.contains(replica)) {
                        crashed.add(replica);
                    }
                });
        return crashed;
    }

    private Stream<Crash> of(Collection<AgentIncarnation> replicas) {
        return replicas.stream().map(mCrashes::get);
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
    private boolean isFull() {
        return mCrashes.values().stream().filter(crash -> !crash.isCleared()).count()
                >= MAX_CRASHES;
    }

    private void dropOldestCleared() {
        Iterator<Crash> crashes = mCrashes.values().iterator();
        while (crashes.hasNext()) {
            if (crashes.next().isCleared()) {
                crashes.remove();
                return;
            }
        }
    }
}
