package org.fescueport.internal.direct.peer;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fescueport.internal.wire.generated.PeerStrike;

/**
 * The strikes that this node has passed on a short while ago. A strike that comes back, because
 * connections form a cycle while a node changes over to another one, is not passed on again.
 */
final class RecentStrikes {
    /** Longer than a strike takes through all nodes. */
    private static final Duration RETENTION = Duration.ofSeconds(2);

    private static final int MAX_STRIKES = 256;

    private final Clock mClock;
    private final Map<PeerStrike, Long> mSeenNanos = new LinkedHashMap<>();

    RecentStrikes(Clock clock) {
        mClock = clock;
    }

    /** Records a strike; returns false if the same one was recorded within the retention time. */
    boolean add(PeerStrike strike) {
        long now = mClock.monotonicTime();
        mSeenNanos.values().removeIf(seen -> now - seen > RETENTION.toNanos());
        if (mSeenNanos.putIfAbsent(strike, now) != null) {
            return false;
        }
        if (mSeenNanos.size() > MAX_STRIKES) {
            mSeenNanos.remove(mSeenNanos.keySet().iterator().next());
        }
        return true;
    }
}
