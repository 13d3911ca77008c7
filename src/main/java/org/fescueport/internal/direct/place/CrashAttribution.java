package org.fescueport.internal.direct.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.direct.place.PartCrashes.Crash;

/**
 * Finds the prompt parts that explain the crashes of replicas.
 *
 * <p>Parts that were in the same crashes form a {@link Culprit}: any one of them may be the cause,
 * or all together, so only requests that have them all are refused. A crash that a culprit explains
 * does not count against other parts, which were only in its company. Crashes before an answer are
 * explained first, as few parts were in progress, then those that are left together with those
 * inside answers. Parts that were never answered go first, then those with the most crashes; while
 * two with equally many share some, or others were in all crashes of one and in more, it is not
 * known which is the cause.
 */
final class CrashAttribution {
    /** Number of crashes before an answer from which a part is refused; one may be chance. */
    static final int MIN_CRASHES = 2;

    /** The same number if replicas have crashed inside answers too. */
    private static final int MIN_CRASHES_IN_ANSWERS = 3;

    /** Number of incarnations that must have crashed at two times, two before their answers. */
    private static final int MIN_INCARNATIONS_AT_TWO_TIMES = 4;

    /** The number of crashes if all parts have been answered at some time. */
    private static final int MIN_CRASHES_IF_ANSWERED = 4;

    /**
     * The most likely last: parts that were never answered, then by the number of crashes; of equal
     * ones, those at one time tell more if there are more.
     */
    private static final Comparator<Culprit> BY_LIKELIHOOD =
            Comparator.comparing(Culprit::wereAnswered, Comparator.reverseOrder())
                    .thenComparingInt(Culprit::count)
                    .thenComparingInt(culprit -> culprit.crashed().size());

    /**
     * Parts of which a request with all of them is refused.
     *
     * @param crashed incarnations whose crashes they explain
     * @param count number of these crashes, of which those at one time count once
     * @param wereAnswered whether a request with each part was answered at some time
     */
    private record Culprit(
            Set<ContentHash> parts,
            Set<AgentIncarnation> crashed,
            int count,
            boolean wereAnswered) {
        boolean sharesCrashesWith(Culprit other) {
            return !Collections.disjoint(crashed, other.crashed);
        }

        /** Returns whether it was in all crashes of the other one, in more, and is as likely. */
        boolean explainsMoreThan(Culprit other) {
            return (!wereAnswered || other.wereAnswered)
                    && crashed.size() > other.crashed.size()
                    && crashed.containsAll(other.crashed);
        }
    }

    private final Map<ContentHash, PartCrashes> mParts;
    private final Predicate<ContentHash> mWasAnswered;
    private final List<Set<ContentHash>> mFound = new ArrayList<>();
    private final Set<AgentIncarnation> mExplained = new HashSet<>();

    private CrashAttribution(
            Map<ContentHash, PartCrashes> parts, Predicate<ContentHash> wasAnswered) {
        mParts = parts;
        mWasAnswered = wasAnswered;
    }

    /**
     * Returns the culprits.
     *
     * @param crashes of each part
     * @param wasAnswered whether a request with the part was ever answered, as far as is known
     */
    static List<Set<ContentHash>> culprits(
            Map<ContentHash, PartCrashes> crashes, Predicate<ContentHash> wasAnswered) {
        var attribution = new CrashAttribution(crashes, wasAnswered);
        attribution.find(Crash::isUnanswered, culprit -> true);
        attribution.find(crash -> !crash.isCleared(), attribution::isEnough);
        return attribution.mFound;
    }

    private void find(Predicate<Crash> counts, Predicate<Culprit> isEnough) {
        Set<AgentIncarnation> ambiguous = new HashSet<>();
        List<Culprit> next = mostLikely(counts, isEnough, ambiguous);
        while (!next.isEmpty()) {
            for (Culprit culprit : next) {
                if (isAmbiguous(culprit, next)) {
                    ambiguous.addAll(culprit.crashed());
                } else {
                    add(culprit);
                }
            }
            next = mostLikely(counts, isEnough, ambiguous);
        }
    }

    private static boolean isAmbiguous(Culprit culprit, List<Culprit> equals) {
        return equals.stream().anyMatch(o -> o != culprit && o.sharesCrashesWith(culprit));
    }

    private void add(Culprit culprit) {
        Set<ContentHash> parts = new HashSet<>(culprit.parts());
        mParts.forEach(
                (part, crashes) -> {
                    if (crashes.isOfSessionIn(culprit.crashed())) {
                        parts.add(part);
                    }
                });
        mFound.add(parts);
        mExplained.addAll(crashedWithAll(parts));
    }

    private Set<AgentIncarnation> crashedWithAll(Set<ContentHash> parts) {
        return parts.stream()
                .map(part -> mParts.get(part).crashed(crash -> !crash.isCleared(), Set.of()))
                .reduce(
                        (one, other) -> {
                            Set<AgentIncarnation> both = new HashSet<>(one);
                            both.retainAll(other);
                            return both;
                        })
                .orElse(Set.of());
    }

    /** Returns the most likely ones of which the crashes are not explained and enough. */
    private List<Culprit> mostLikely(
            Predicate<Crash> counts, Predicate<Culprit> isEnough, Set<AgentIncarnation> ambiguous) {
        Collection<Culprit> all = byCrashes(counts, ambiguous);
        List<Culprit> enough =
                all.stream().filter(isEnough).sorted(BY_LIKELIHOOD.reversed()).toList();
        Predicate<Culprit> isPossible =
                culprit -> all.stream().noneMatch(other -> other.explainsMoreThan(culprit));
        Optional<Culprit> most = enough.stream().filter(isPossible).findFirst();
        return enough.stream()
                .filter(c -> most.isPresent() && BY_LIKELIHOOD.compare(c, most.get()) == 0)
                .filter(isPossible)
                .toList();
    }

    private Collection<Culprit> byCrashes(
            Predicate<Crash> counts, Set<AgentIncarnation> ambiguous) {
        Set<AgentIncarnation> left = new HashSet<>(mExplained);
        left.addAll(ambiguous);
        Map<Set<AgentIncarnation>, Culprit> culprits = new HashMap<>();
        mParts.forEach(
                (part, crashes) -> {
                    var crashed = crashes.crashed(counts, left);
                    if (crashed.size() >= MIN_CRASHES) {
                        int count = crashes.count(crashed);
                        boolean wasAnswered = mWasAnswered.test(part);
                        var alone = new Culprit(Set.of(part), crashed, count, wasAnswered);
                        culprits.merge(crashed, alone, CrashAttribution::together);
                    }
                });
        return culprits.values();
    }

    private static Culprit together(Culprit one, Culprit other) {
        Set<ContentHash> parts = new HashSet<>(one.parts());
        parts.addAll(other.parts());
        int count = Math.min(one.count(), other.count());
        boolean wereAnswered = one.wereAnswered() && other.wereAnswered();
        return new Culprit(parts, one.crashed(), count, wereAnswered);
    }

    private boolean isEnough(Culprit culprit) {
        if (culprit.wereAnswered()) {
            return culprit.count() >= MIN_CRASHES_IF_ANSWERED;
        }
        return culprit.count() >= MIN_CRASHES_IN_ANSWERS || isTwiceManyBeforeAnswers(culprit);
    }

    private boolean isTwiceManyBeforeAnswers(Culprit culprit) {
        return culprit.count() >= MIN_CRASHES
                && culprit.crashed().size() >= MIN_INCARNATIONS_AT_TWO_TIMES
                && culprit.parts().stream()
                        .map(mParts::get)
                        .allMatch(p -> p.countBeforeAnswers(culprit.crashed()) >= MIN_CRASHES);
    }
}
