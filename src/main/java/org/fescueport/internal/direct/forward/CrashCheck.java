package org.fescueport.internal.direct.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.direct.place.CrashingRequestDetector;
import org.fescueport.internal.direct.state.ReplicaEntry;

/**
 * Finds out whether a replica that lost a response has crashed, by opening a connection to it. No
 * request may do so in time, because a replica that loses responses is avoided.
 */
public final class CrashCheck {
    /** Times after the loss; a crashed replica is back after some seconds. */
    private static final List<Duration> DELAYS =
            List.of(Duration.ofMillis(50), Duration.ofMillis(400), Duration.ofMillis(1_200));

    private final ReplicaConnectionPools mConnectionPools;
    private final CrashingRequestDetector mCrashes;

    /** Incarnations that are being checked. */
    private final Set<AgentIncarnation> mChecked = new HashSet<>();

    private CrashCheck(ReplicaConnectionPools connectionPools, CrashingRequestDetector crashes) {
        mConnectionPools = connectionPools;
        mCrashes = crashes;
    }

    /** Returns a check that reports to this detector. */
    public static CrashCheck of(
            ReplicaConnectionPools connectionPools, CrashingRequestDetector crashes) {
        return new CrashCheck(connectionPools, crashes);
    }

    /** Begins to check a replica; ends once there is no suspicion any more. */
    void begin(ReplicaEntry replica) {
        if (!mChecked.add(replica.life())) {
            return;
        }
        for (Duration delay : DELAYS) {
            mConnectionPools.schedule(() -> check(replica), delay);
        }
        mConnectionPools.schedule(() -> mChecked.remove(replica.life()), DELAYS.getLast());
    }

    private void check(ReplicaEntry replica) {
        if (!mCrashes.isSuspected(replica, mConnectionPools.nowNanos())) {
            return;
        }
        mConnectionPools.probe(
                replica,
                result -> {
                    long now = mConnectionPools.nowNanos();
                    switch (result) {
                        case CONNECTED -> mCrashes.onReachable(replica, now);
                        case REFUSED -> mCrashes.onUnreachable(replica, now);
                        case NO_RESPONSE -> mCrashes.onSilent(replica, now);
                        default -> throw new IllegalStateException("result " + result);
                    }
                });
    }
}
