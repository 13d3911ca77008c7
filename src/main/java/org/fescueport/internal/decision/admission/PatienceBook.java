package org.fescueport.internal.decision.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How long callers of a kind have been waiting before they came here.
 *
 * <p>Answers callers who return after a refusal: they say how long they will still wait, which is
 * less than others of their kind do by the time that has passed for them. Not safe for use by
 * several threads.
 *
 * @param <K> names a kind of request
 */
public final class PatienceBook<K> {
    /** The longest patience is forgotten after one to two of these. */
    private static final Duration MEMORY = Duration.ofSeconds(10);

    private static final int MOST_KINDS = 4_096;

    private record Longest(long before, long now, long sinceNanos) {}

    private final Map<K, Longest> mKinds = new HashMap<>();

    /** Returns for how long a caller has waited who will wait for this time more. */
    public Duration waitedBefore(K kind, long patienceMillis, long nowNanos) {
        Longest known = mKinds.get(kind);
        Longest longest = known == null ? new Longest(0, 0, nowNanos) : known;
        if (nowNanos - longest.sinceNanos() > MEMORY.toNanos()) {
            longest = new Longest(longest.now(), 0, nowNanos);
        }
        long most = Math.max(longest.now(), patienceMillis);
        if (known != null || mKinds.size() < MOST_KINDS) {
            mKinds.put(kind, new Longest(longest.before(), most, longest.sinceNanos()));
        }
        return Duration.ofMillis(Math.max(most, longest.before()) - patienceMillis);
    }
}
