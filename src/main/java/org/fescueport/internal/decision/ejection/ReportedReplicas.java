package org.fescueport.internal.decision.ejection;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.decision.NodeId;

/** The replicas of a pool about which other routers have reported failures a short while ago. */
final class ReportedReplicas {
    private static final Duration RETENTION = Duration.ofSeconds(1);

    /** Fraction of a pool of which reports are believed at the same time. */
    private static final double MAX_SHARE = 0.25;

    private final Map<NodeId, Long> mReportedNanos = new HashMap<>();

    /** Records a report; returns whether few enough replicas are reported for it to be believed. */
    boolean isPlausible(NodeId node, int replicas, long nowNanos) {
        mReportedNanos.values().removeIf(at -> nowNanos - at > RETENTION.toNanos());
        mReportedNanos.put(node, nowNanos);
        return mReportedNanos.size() <= Math.max(1, MAX_SHARE * replicas);
    }
}
