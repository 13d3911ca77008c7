package org.fescueport.internal.direct.forward;

import java.time.Duration;
import java.util.List;
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
        for (Duration delay : DELAYS) {
            mConnectionPools.schedule(() -> check(replica), delay);
        }
    }

    private void check(ReplicaEntry replica) {
        if (!mCrashes.isSuspected(replica, mConnectionPools.nowNanos())) {
            return;
        }
        mConnectionPools.probe(
                replica,
                reached -> {
                    if (!reached) {
                        mCrashes.onUnreachable(replica, mConnectionPools.nowNanos());
                    }
                });
    }
}
