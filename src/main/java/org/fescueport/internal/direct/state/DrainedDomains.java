package org.fescueport.internal.direct.state;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescueport.internal.decision.FailureDomain;

/**
 * The failure domains that operators have drained: nothing is sent to the replicas there.
 *
 * <p>A domain that a copy of the store lacks stays drained until the operator has had time to say
 * so again. Used by the event loop alone.
 */
final class DrainedDomains {
    private final Map<FailureDomain, StateRecord> mRecords = new HashMap<>();
    private final Map<FailureDomain, Long> mRetainedUntilNanos = new HashMap<>();

    /** Returns whether a domain is drained. */
    boolean contains(FailureDomain domain) {
        StateRecord word = mRecords.get(domain);
        return word != null && word.value().isPresent();
    }

    /** Returns whether no domain is drained. */
    boolean isNoneDrained() {
        return mRecords.values().stream().allMatch(word -> word.value().isEmpty());
    }

    /** Takes in what was said of a domain; returns whether that was not known. */
    boolean update(FailureDomain domain, StateRecord record) {
        StateRecord known = mRecords.get(domain);
        if (known != null && !known.position().isBefore(record.position())) {
            return false;
        }
        mRetainedUntilNanos.remove(domain);
        mRecords.put(domain, record);
        return record.value().isPresent() || known != null;
    }

    /**
     * Ends the draining of the domains that a whole list does not name.
     *
     * @param listed that the list names
     * @param retainedUntilNanos how long one counts still that was told in a former era
     * @return whether any ended
     */
    boolean endUnlisted(Set<FailureDomain> listed, StorePosition end, long retainedUntilNanos) {
        boolean changed = false;
        for (var entry : mRecords.entrySet()) {
            StateRecord word = entry.getValue();
            boolean missing = !listed.contains(entry.getKey()) && word.value().isPresent();
            if (!missing || !word.position().isBefore(end)) {
                continue;
            }
            if (word.position().era() < end.era()) {
                mRetainedUntilNanos.putIfAbsent(entry.getKey(), retainedUntilNanos);
            } else {
                entry.setValue(StateRecord.removed(end.plus(-1), word.key()));
                changed = true;
            }
        }
        return changed;
    }

    /** Ends the draining of domains that have not been named again; returns whether any ended. */
    boolean expire(long nowNanos) {
        boolean changed = false;
        for (Iterator<Map.Entry<FailureDomain, Long>> all =
                        mRetainedUntilNanos.entrySet().iterator();
                all.hasNext(); ) {
            var lapsed = all.next();
            if (nowNanos - lapsed.getValue() >= 0) {
                mRecords.computeIfPresent(
                        lapsed.getKey(),
                        (d, word) -> StateRecord.removed(word.position(), word.key()));
                all.remove();
                changed = true;
            }
        }
        return changed;
    }

    /** Returns all words, also of domains that are in use again. */
    List<StateRecord> records() {
        return List.copyOf(mRecords.values());
    }

    /** Returns the place behind the newest word. */
    StorePosition end() {
        return mRecords.values().stream()
                .map(word -> word.position().plus(1))
                .reduce(StorePosition.START, (a, b) -> a.isBefore(b) ? b : a);
    }

    @Override
    public String toString() {
        return mRecords.keySet().stream()
                .filter(this::contains)
                .map(FailureDomain::name)
                .sorted()
                .collect(Collectors.joining(","));
    }
}
