package org.fescueport.internal.decision.ejection;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;

/**
 * Shares of failures among the recent requests to each replica of a pool.
 *
 * <p>Designed for replicas that fail part of their requests, with successes between, while their
 * health check passes. A replica stands out if its share of failures is far above that of the other
 * replicas together, and further than chance explains. If all replicas fail alike, none stands out.
 */
final class FailureShares {
    /** Time after which a request counts half. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(10);

    /** Number of recent requests from which a share is meaningful. */
    private static final double MIN_REQUESTS = 15;

    /** Difference of the shares below which a replica never stands out. */
    private static final double MIN_DIFFERENCE = 0.2;

    /** Number of standard deviations of chance that the difference must exceed. */
    private static final double MIN_DEVIATIONS = 4.5;

    /** Decaying counts of one replica. */
    private static final class Counts {
        private double mRequests;
        private double mFailures;
        private long mUpdatedNanos;

        void decay(long nowNanos) {
            double halfLives = (double) (nowNanos - mUpdatedNanos) / HALF_LIFE.toNanos();
            scale(Math.pow(0.5, Math.max(0, halfLives)));
            mUpdatedNanos = nowNanos;
        }

        void scale(double factor) {
            mRequests *= factor;
            mFailures *= factor;
        }
    }

    private final Map<NodeId, Counts> mCounts = new HashMap<>();

    void add(NodeId node, boolean failure, long nowNanos) {
        var counts = mCounts.computeIfAbsent(node, key -> new Counts());
        counts.decay(nowNanos);
        counts.mRequests++;
        counts.mFailures += failure ? 1 : 0;
    }

    /** Returns whether a replica fails far more often than the other replicas of the pool. */
    boolean standsOut(NodeId node, long nowNanos) {
        Counts own = mCounts.get(node);
        double requests = 0;
        double failures = 0;
        for (var counts : mCounts.values()) {
            counts.decay(nowNanos);
            if (counts != own) {
                requests += counts.mRequests;
                failures += counts.mFailures;
            }
        }
        if (own == null || own.mRequests < MIN_REQUESTS || requests < MIN_REQUESTS) {
            return false;
        }
        // One success and one failure more, so that few requests do not make a share 0 or 1.
        double usual = (failures + 1) / (requests + 2);
        double difference = own.mFailures / own.mRequests - usual;
        double deviation = Math.sqrt(usual * (1 - usual) / own.mRequests);
        return difference >= Math.max(MIN_DIFFERENCE, MIN_DEVIATIONS * deviation);
    }

    /**
     * Reduces what is known of a replica to the minimum, so that it is judged by its next requests
     * as much as by the earlier ones.
     */
    void onEjected(NodeId node) {
        Counts counts = mCounts.get(node);
        if (counts != null && counts.mRequests > MIN_REQUESTS) {
            counts.scale(MIN_REQUESTS / counts.mRequests);
        }
    }

    Set<NodeId> nodes() {
        return mCounts.keySet();
    }
}
