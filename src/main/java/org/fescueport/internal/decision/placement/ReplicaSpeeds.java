package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;

/**
 * Estimates how much slower each replica works than a usual replica of its pool.
 *
 * <p>Designed for replicas that share their machines with other programs. Such replicas report how
 * long work takes there at present; the report changes many times a second, so it is smoothed. A
 * replica that is slow without reporting it is found by the times to the first byte and between the
 * events of this node's own requests, compared with other replicas for the same kind of work and
 * divided by the load that the replica had. The larger of the two estimates counts. This class is
 * not thread-safe.
 *
 * <pre>{@code
 * speeds.onReport(replica, 250, now);
 * speeds.onWork(replica, "/summaries/", 0.5, firstByteNanos, now);
 * double factor = speeds.slowness(set, now).of(replica);
 * }</pre>
 */
public final class ReplicaSpeeds {
    /** Time in which a new level of the reports is adopted to about two thirds. */
    private static final Duration REPORT_SMOOTHING_TIME = Duration.ofSeconds(2);

    /** Largest weight of a single report, for replicas that report rarely. */
    private static final double MAX_REPORT_WEIGHT = 0.25;

    /** Weight of a new observation in the moving averages. */
    private static final double OBSERVATION_WEIGHT = 0.08;

    /** Number of observations from which a replica's times are compared with those of others. */
    private static final int MIN_OBSERVATIONS = 4;

    /** Number of observations by which an estimate counts half, as a few may differ by chance. */
    private static final double HALF_WEIGHT_OBSERVATIONS = 2;

    /** Slowness below this is taken for chance. */
    private static final double MIN_SLOWNESS = 1.75;

    /** Time in which the observations of a replica that gets no requests lose their weight. */
    private static final Duration OBSERVATION_EXPIRY = Duration.ofSeconds(20);

    /** Largest slowness; a replica that is slower still gets a request now and then. */
    private static final double MAX_SLOWNESS = 16;

    /** Time for which the comparison of a pool's replicas is kept. */
    private static final Duration COMPARISON_INTERVAL = Duration.ofMillis(100);

    /** Largest number of kinds of work that are told apart. */
    private static final int MAX_KINDS = 1_024;

    private static final double PERCENT = 100;

    /** The slowness of the replicas of a pool, as of one moment. */
    @FunctionalInterface
    public interface Slowness {
        /** Every replica works at the usual speed. */
        Slowness USUAL = replica -> 1;

        /** Returns the factor by which work takes longer than at a usual replica; at least 1. */
        double of(NodeId replica);
    }

    /** What is known of one replica. */
    private static final class Speed {
        private double mReported = 1;
        private boolean mHasReport;
        private long mReportedAtNanos;

        /** Mean logarithm of the ratio of its times to those of its peers. */
        private double mLogRatio;

        private int mObservations;
        private long mObservedAtNanos;

        /** Returns the mean log ratio; it tends to 0 without new observations. */
        double logRatio(long nowNanos) {
            double age = (double) (nowNanos - mObservedAtNanos) / OBSERVATION_EXPIRY.toNanos();
            return mLogRatio * Math.max(0, 1 - age);
        }
    }

    /** Mean logarithm of the times of one kind of work. */
    private static final class KindOfWork {
        private double mMeanLog;
        private boolean mHasMean;

        /** Returns the deviation from the mean, and includes the value in it. */
        double add(double log) {
            if (!mHasMean) {
                mHasMean = true;
                mMeanLog = log;
            }
            double deviation = log - mMeanLog;
            mMeanLog += OBSERVATION_WEIGHT * deviation;
            return deviation;
        }
    }

    /** The compared speeds of the replicas of one set. */
    private record Comparison(ReplicaSet set, long atNanos, Map<NodeId, Double> slowness)
            implements Slowness {
        @Override
        public double of(NodeId replica) {
            return slowness.getOrDefault(replica, 1.0);
        }
    }

    private final Map<NodeId, Speed> mSpeeds = new HashMap<>();
    private final Map<String, KindOfWork> mKinds = new HashMap<>();
    private final Map<PoolId, Comparison> mComparisons = new HashMap<>();
    private final Set<NodeId> mUnreadable = new HashSet<>();
    private final SharedReplicas mShared;
    private boolean mAnyReported;

    private ReplicaSpeeds(SharedReplicas shared) {
        mShared = shared;
        mAnyReported = shared == SharedReplicas.DECLARED;
    }

    /** Returns a tracker without any reports, which the first report makes active. */
    public static ReplicaSpeeds create() {
        return create(SharedReplicas.BY_REPORTS);
    }

    /**
     * Returns a tracker without any reports.
     *
     * @param shared what makes {@link #isAnyReported} hold
     */
    public static ReplicaSpeeds create(SharedReplicas shared) {
        return new ReplicaSpeeds(shared);
    }

    /**
     * Records a report.
     *
     * @param workPercent time that work takes on the replica's machine, in percent of the usual
     */
    public void onReport(NodeId replica, int workPercent, long nowNanos) {
        if (mShared == SharedReplicas.NO) {
            return;
        }
        mAnyReported = true;
        Speed speed = speed(replica);
        double reported = workPercent / PERCENT;
        if (!speed.mHasReport) {
            speed.mHasReport = true;
            speed.mReported = reported;
        } else {
            double age = (double) (nowNanos - speed.mReportedAtNanos);
            double weight = 1 - Math.exp(-age / REPORT_SMOOTHING_TIME.toNanos());
            double used = Math.min(MAX_REPORT_WEIGHT, weight);
            speed.mReported += used * (reported - speed.mReported);
        }
        speed.mReportedAtNanos = nowNanos;
    }

    /**
     * Records that a report of a replica could not be used.
     *
     * @return whether it is the first one of this replica
     */
    public boolean onUnreadableReport(NodeId replica) {
        return mUnreadable.add(replica);
    }

    /**
     * Records how long a replica took for some work of a request of this node, such as the time
     * from sending the request to the first byte, or the mean time between two events.
     *
     * @param kind kind of work, such as the route; times are compared within it
     * @param heldPerSlot requests per slot that the replica had in flight when it got the request
     * @param nanos time that the work took
     */
    public void onWork(NodeId replica, String kind, double heldPerSlot, long nanos, long nowNanos) {
        if (!mAnyReported || (mKinds.size() >= MAX_KINDS && !mKinds.containsKey(kind))) {
            return;
        }
        double log = Math.log(Math.max(1, nanos) / (1 + Math.max(0, heldPerSlot)));
        double deviation = mKinds.computeIfAbsent(kind, name -> new KindOfWork()).add(log);
        Speed speed = speed(replica);
        speed.mObservations++;
        double weight = Math.max(OBSERVATION_WEIGHT, 1.0 / speed.mObservations);
        speed.mLogRatio += weight * (deviation - speed.mLogRatio);
        speed.mObservedAtNanos = nowNanos;
    }

    /**
     * Returns whether any replica has reported, now or earlier, or the settings say so: the
     * replicas, or their machines, are shared by more load than they can take at times.
     */
    public boolean isAnyReported() {
        return mAnyReported;
    }

    /** Returns how slow the replicas of a set are at present, compared with each other. */
    public Slowness slowness(ReplicaSet set, long nowNanos) {
        if (!mAnyReported) {
            return Slowness.USUAL;
        }
        Comparison last = mComparisons.get(set.pool());
        if (last == null
                || last.set() != set
                || nowNanos - last.atNanos() >= COMPARISON_INTERVAL.toNanos()) {
            last = compare(set, nowNanos);
            mComparisons.put(set.pool(), last);
        }
        return last;
    }

    /** Returns the slowness of a replica at the last comparison of its pool. */
    public double slowness(PoolId pool, NodeId replica) {
        Comparison last = mComparisons.get(pool);
        return last == null ? 1 : last.of(replica);
    }

    /** Returns the number of replicas that worked at half the usual speed or less at last. */
    public int slowReplicas() {
        int count = 0;
        for (var comparison : mComparisons.values()) {
            for (double slowness : comparison.slowness().values()) {
                count += slowness >= 2 ? 1 : 0;
            }
        }
        return count;
    }

    /** Removes the replicas that are not in the set. */
    public void retain(Set<NodeId> replicas) {
        mSpeeds.keySet().retainAll(replicas);
        mUnreadable.retainAll(replicas);
        mComparisons.values().removeIf(c -> c.set().replicas().isEmpty());
    }

    /**
     * Compares each replica with the median of the set, which is not affected by a minority of slow
     * replicas.
     */
    private Comparison compare(ReplicaSet set, long nowNanos) {
        double usualReport = median(set, speed -> speed.mHasReport, speed -> speed.mReported, 1);
        double usualRatio =
                median(
                        set,
                        speed -> speed.mObservations >= MIN_OBSERVATIONS,
                        speed -> speed.logRatio(nowNanos),
                        0);
        Map<NodeId, Double> slowness = new HashMap<>();
        for (var replica : set.replicas()) {
            Speed speed = mSpeeds.get(replica.node());
            if (speed == null) {
                continue;
            }
            double reported = speed.mHasReport ? speed.mReported / usualReport : 1;
            double observed = observedSlowness(speed, usualRatio, nowNanos);
            slowness.put(replica.node(), rounded(Math.max(reported, observed)));
        }
        return new Comparison(set, nowNanos, slowness);
    }

    private static double observedSlowness(Speed speed, double usualRatio, long nowNanos) {
        if (speed.mObservations < MIN_OBSERVATIONS) {
            return 1;
        }
        double trust = speed.mObservations / (speed.mObservations + HALF_WEIGHT_OBSERVATIONS);
        return Math.exp(trust * (speed.logRatio(nowNanos) - usualRatio));
    }

    /**
     * Rounds to a power of two: nodes have slightly different estimates, and are to agree on which
     * prefixes a slow replica keeps.
     */
    private static double rounded(double slowness) {
        if (slowness < MIN_SLOWNESS) {
            return 1;
        }
        double exponent = Math.rint(Math.log(slowness) / Math.log(2));
        return Math.min(MAX_SLOWNESS, Math.pow(2, exponent));
    }

    private double median(
            ReplicaSet set, Predicate<Speed> known, ToDoubleFunction<Speed> value, double ifNone) {
        double[] values =
                set.replicas().stream()
                        .map(replica -> mSpeeds.get(replica.node()))
                        .filter(speed -> speed != null && known.test(speed))
                        .mapToDouble(value)
                        .toArray();
        if (values.length == 0) {
            return ifNone;
        }
        Arrays.sort(values);
        return values[(values.length - 1) / 2];
    }

    private Speed speed(NodeId replica) {
        return mSpeeds.computeIfAbsent(replica, id -> new Speed());
    }
}
