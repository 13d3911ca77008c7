package org.fescueport.internal.decision.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;

/**
 * Tracks how fast the machines of the replicas are, as the replicas report it.
 *
 * <p>Replicas that share their machines with other programs report how long work takes there at
 * present. The figure changes many times a second, so it is smoothed. This class is not
 * thread-safe.
 *
 * <pre>{@code
 * speeds.onReport(replica, 250, now);
 * double factor = speeds.slowness(replica);
 * }</pre>
 */
public final class ReplicaSpeeds {
    /** Weight of a new report in the moving average. */
    private static final double SMOOTHING = 0.1;

    private static final double PERCENT = 100;

    private final Map<NodeId, Double> mSlowness = new HashMap<>();
    private boolean mAnyReported;

    private ReplicaSpeeds(boolean declared) {
        mAnyReported = declared;
    }

    /** Returns a tracker without any reports. */
    public static ReplicaSpeeds create() {
        return new ReplicaSpeeds(false);
    }

    /**
     * Returns a tracker without any reports.
     *
     * @param declared whether the settings say that the replicas are shared, so that {@link
     *     #isAnyReported} holds before the first report
     */
    public static ReplicaSpeeds create(boolean declared) {
        return new ReplicaSpeeds(declared);
    }

    /**
     * Records a report.
     *
     * @param workPercent time that work takes on the replica's machine, in percent of the usual
     */
    public void onReport(NodeId replica, int workPercent, long nowNanos) {
        mAnyReported = true;
        double told = workPercent / PERCENT;
        mSlowness.merge(replica, told, (mean, latest) -> mean + SMOOTHING * (latest - mean));
    }

    /**
     * Returns whether any replica has reported, now or earlier, or the settings say so: the
     * replicas, or their machines, are shared by more load than they can take at times.
     */
    public boolean isAnyReported() {
        return mAnyReported;
    }

    /** Returns the factor by which work takes longer than usual; 1 if the replica reports none. */
    public double slowness(NodeId replica) {
        return mSlowness.getOrDefault(replica, 1.0);
    }

    /** Removes the replicas that are not in the set. */
    public void retain(Set<NodeId> replicas) {
        mSlowness.keySet().retainAll(replicas);
    }
}
