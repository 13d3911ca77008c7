package org.fescueport.internal.decision.admission;

import java.time.Duration;

/**
 * The times of a graceful shutdown, in nanoseconds of the monotonic clock.
 *
 * @param startNanos when the node was told to stop
 * @param noticedNanos when the load balancer has noticed at the latest that the node is not ready,
 *     and no longer selects it where it has a choice
 * @param idleEndNanos when a node without connections ends at the earliest; connections that the
 *     load balancer had assigned before may open until then
 * @param endNanos when the node ends at the latest
 */
public record ShutdownSchedule(
        long startNanos, long noticedNanos, long idleEndNanos, long endNanos) {
    /** Time that the first request of a new connection is in transit. */
    private static final Duration TRANSIT_TIME = Duration.ofMillis(200);

    /**
     * Part of the time until the process is killed after which it ends by itself. Callers are told
     * that an answer in progress is cut in the last sixth of that time at the earliest; the rest is
     * for the process to exit.
     */
    private static final double END_FRACTION = 11.0 / 12;

    /**
     * Returns the schedule of a shutdown.
     *
     * @param startNanos when the node was told to stop
     * @param killTime time until the process is killed
     */
    public static ShutdownSchedule of(
            long startNanos, LoadBalancerTimes balancer, Duration killTime) {
        long end = startNanos + (long) (END_FRACTION * killTime.toNanos());
        long noticed = Math.min(end, startNanos + balancer.noticeTime().toNanos());
        Duration connect = balancer.connectTime().plus(TRANSIT_TIME);
        long idleEnd = Math.min(end, noticed + connect.toNanos());
        return new ShutdownSchedule(startNanos, noticed, idleEnd, end);
    }

    /** Returns the time from the given moment until the node ends at the latest. */
    public Duration timeLeft(long nowNanos) {
        return Duration.ofNanos(endNanos - nowNanos);
    }

    /** Returns the time from the beginning of the shutdown until the given moment. */
    public Duration elapsed(long nowNanos) {
        return Duration.ofNanos(nowNanos - startNanos);
    }
}
