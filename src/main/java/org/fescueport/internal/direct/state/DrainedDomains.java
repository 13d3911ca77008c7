package org.fescueport.internal.direct.state;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescueport.internal.decision.FailureDomain;

/**
 * The failure domains that operators have drained: no requests are sent to replicas in them.
 *
 * <p>A drain that is missing after the store was restored from a backup stays in effect until the
 * operator has had time to repeat it. Not thread-safe; used only on the event loop.
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

    /**
     * Applies a record about a domain.
     *
     * @return whether the record changes something: it is newer than the known one, and it drains
     *     the domain or ends a known drain
     */
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
     * Ends the drains of domains that a whole list does not contain. Drains that were set in an
     * earlier era are kept for a while, as the list may lack them because of a restore.
     *
     * @param listed domains that the list contains
     * @param end position after the list
     * @param retainedUntilNanos monotonic time until which drains of an earlier era stay in effect
     * @return whether any drain ended at once
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

    /** Ends retained drains that have not been repeated in time; returns whether any ended. */
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

    /** Returns the newest records of all domains, including those whose drain has ended. */
    List<StateRecord> records() {
        return List.copyOf(mRecords.values());
    }

    /** Returns the position after the newest record. */
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
