package org.fescueport.internal.decision.placement;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;

/**
 * Estimates the load of each replica of a pool from the reports that one router has received.
 *
 * <p>A router receives reports only with responses and refusals to its own requests, so reports are
 * infrequent and late. The estimate adds the tokens that the router has sent since the report, and
 * decays towards the pool's mean as the report ages: for a replica without a recent report, only
 * the mean is known. Thread-safe.
 *
 * <pre>{@code
 * estimator.onSent(node, tokens);                  // with the Submit frame
 * estimator.onReport(node, report, tokens, now);   // with the first frame of the response
 * double load = estimator.loadOf(node, now);
 * }</pre>
 */
public final class LoadEstimator {
    /** Age at which a report's difference from the mean has decayed by half. */
    private static final double HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Age from which a report is ignored. */
    private static final long REPORT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Age from which the mean is regarded as unknown. */
    private static final long MEAN_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Weight of a newly reported mean in the moving average. */
    private static final double MEAN_SMOOTHING_FACTOR = 0.3;

    private record Entry(LoadReport report, long reportedAtNanos, long unreportedTokens) {
        boolean isFresh(long nowNanos) {
            return report != null && nowNanos - reportedAtNanos < REPORT_EXPIRY_NANOS;
        }
    }

    private record Mean(double tokens, long atNanos) {}

    private final int mMaxReplicas;
    private final ConcurrentHashMap<NodeId, Entry> mEntries = new ConcurrentHashMap<>();
    private volatile Mean mMean = new Mean(0, 0);

    private LoadEstimator(int maxReplicas) {
        mMaxReplicas = maxReplicas;
    }

    /** Returns an estimator without reports, which tracks at most {@code maxReplicas} replicas. */
    public static LoadEstimator create(int maxReplicas) {
        return new LoadEstimator(maxReplicas);
    }

    /** Records the tokens of a request that was sent and has no response yet. */
    public void onSent(NodeId node, long tokens) {
        if (mEntries.size() >= mMaxReplicas && !mEntries.containsKey(node)) {
            return;
        }
        mEntries.merge(node, new Entry(null, 0, tokens), (old, sent) -> addUnreported(old, tokens));
    }

    /**
     * Reverses {@link #onSent} for a request that will get no response, for example because the
     * connection was lost.
     */
    public void onLost(NodeId node, long tokens) {
        mEntries.computeIfPresent(node, (key, old) -> addUnreported(old, -tokens));
    }

    /**
     * Records a load report.
     *
     * @param answeredTokens tokens recorded by {@link #onSent} for the request, if the report came
     *     with the first frame of its response; otherwise 0
     */
    public void onReport(NodeId node, LoadReport report, long answeredTokens, long nowNanos) {
        if (report.meanTokens() > 0) {
            updateMean(report.meanTokens(), nowNanos);
        }
        if (mEntries.size() >= mMaxReplicas && !mEntries.containsKey(node)) {
            return;
        }
        mEntries.compute(
                node,
                (key, old) -> {
                    long unreported = old == null ? 0 : old.unreportedTokens() - answeredTokens;
                    return new Entry(report, nowNanos, Math.max(0, unreported));
                });
    }

    /** Removes the replicas that are not in the set. */
    public void retain(ReplicaSet set) {
        mEntries.keySet().removeIf(node -> set.indexOf(node) < 0);
    }

    /** Returns the estimated load of a replica in tokens. */
    public double loadOf(NodeId node, long nowNanos) {
        double mean = mean(nowNanos);
        Entry entry = mEntries.get(node);
        if (entry == null) {
            return mean;
        }
        double base = entry.isFresh(nowNanos) ? decayed(entry, mean, nowNanos) : mean;
        return base + entry.unreportedTokens();
    }

    /** Returns the pool's mean load in tokens; 0 if unknown. */
    public double mean(long nowNanos) {
        Mean mean = mMean;
        return nowNanos - mean.atNanos() < MEAN_EXPIRY_NANOS ? mean.tokens() : 0;
    }

    int size() {
        return mEntries.size();
    }

    private void updateMean(long tokens, long nowNanos) {
        double old = mean(nowNanos);
        double next = old == 0 ? tokens : old + MEAN_SMOOTHING_FACTOR * (tokens - old);
        mMean = new Mean(next, nowNanos);
    }

    private static Entry addUnreported(Entry old, long tokens) {
        long unreported = Math.max(0, old.unreportedTokens() + tokens);
        return new Entry(old.report(), old.reportedAtNanos(), unreported);
    }

    private static double decayed(Entry entry, double mean, long nowNanos) {
        double age = nowNanos - entry.reportedAtNanos();
        double reported = entry.report().outstandingTokens();
        return mean + (reported - mean) * Math.pow(0.5, age / HALF_LIFE_NANOS);
    }
}
