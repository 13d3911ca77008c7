package org.fescueport.internal.decision.placement;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;

/**
 * What one router last learnt of the load of each replica of a pool.
 *
 * <p>Reports come only with this router's own responses and refusals, so they are few and late. An
 * estimate adds what was sent since the report, and moves towards the pool's mean as the report
 * ages: of a replica that was not heard for long, nothing is known but the mean. Safe for use by
 * several threads.
 *
 * <pre>{@code
 * book.onSent(node, tokens);                  // with the Submit frame
 * book.onReport(node, report, tokens, now);   // with the first frame that answers it
 * double load = book.loadOf(node, now);
 * }</pre>
 */
public final class LoadEstimator {
    /** Age at which half of a report's distance from the mean is left. */
    private static final double HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Age from which a report tells nothing. */
    private static final long REPORT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Age from which the mean is taken as unknown. */
    private static final long MEAN_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Share that a new report of the mean has in the mean. */
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

    /** Returns an empty book that remembers at most so many replicas. */
    public static LoadEstimator create(int maxReplicas) {
        return new LoadEstimator(maxReplicas);
    }

    /** Notes work that was sent and not answered yet. */
    public void onSent(NodeId node, long tokens) {
        if (mEntries.size() >= mMaxReplicas && !mEntries.containsKey(node)) {
            return;
        }
        mEntries.merge(node, new Entry(null, 0, tokens), (old, sent) -> addUnreported(old, tokens));
    }

    /** Takes back work that was sent and will not be answered, such as on a lost connection. */
    public void onLost(NodeId node, long tokens) {
        mEntries.computeIfPresent(node, (key, old) -> addUnreported(old, -tokens));
    }

    /**
     * Takes a report.
     *
     * @param answeredTokens what {@link #onSent} noted for the request that this frame answers
     *     first; 0 when it answers none, or was not the first frame
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

    /** Forgets the replicas that are no longer in the set. */
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

    /** Returns the pool's mean load in tokens; 0 when it is unknown. */
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
