package org.fescueport.internal.decision.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides which requests a node accepts that has been told to stop.
 *
 * <p>What is in progress when the process ends is cut off, so a request is accepted if it ends
 * before: certainly, because its timeout passes before, or probably, because recent responses of
 * its route took less time than is left. A probable end suffices only until the load balancer has
 * noticed the shutdown. Later requests come from callers that the load balancer has no other node
 * for, or that kept their connection, and a response that is cut then is lost through the node's
 * fault. A request that is refused has not run, and its caller can go to another node at once.
 */
public final class ShutdownAdmission {
    /** Time that a response takes to be written after the request has timed out. */
    private static final Duration WRITE_TIME = Duration.ofMillis(150);

    /** The decision on a request. */
    public enum Decision {
        /** The request is accepted; it is complete or times out before the node ends. */
        CERTAIN,
        /** The request is accepted; others of its route have taken less time than is left. */
        PROBABLE,
        /** The request must be refused, as the end of the node may cut it off. */
        REFUSED
    }

    private final ShutdownSchedule mSchedule;

    private ShutdownAdmission(ShutdownSchedule schedule) {
        mSchedule = schedule;
    }

    /** Returns the decisions for a shutdown with this schedule. */
    public static ShutdownAdmission of(ShutdownSchedule schedule) {
        return new ShutdownAdmission(schedule);
    }

    /** Returns the times of the shutdown. */
    public ShutdownSchedule schedule() {
        return mSchedule;
    }

    /**
     * Decides on a request that has been received completely.
     *
     * @param timeout time after which the request ends without a response at the latest
     * @param usual time within which most recent responses of its route were complete; empty if
     *     there were none
     */
    public Decision decide(Duration timeout, Optional<Duration> usual, long nowNanos) {
        Duration left = mSchedule.timeLeft(nowNanos).minus(WRITE_TIME);
        if (timeout.compareTo(left) <= 0) {
            return Decision.CERTAIN;
        }
        boolean noticed = nowNanos - mSchedule.noticedNanos() >= 0;
        boolean fits = usual.map(time -> time.compareTo(left) <= 0).orElse(true);
        return !noticed && fits ? Decision.PROBABLE : Decision.REFUSED;
    }
}
