package org.fescueport.internal.decision.ejection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaSet;

/**
 * Keeps requests away from replicas of a pool that fail, and lets them come back slowly.
 *
 * <p>At most a set share of the pool is ejected at once, so that a router whose own network is bad
 * does not throw out everything. A failure domain of which most replicas fail counts as lost and is
 * ejected whole, beside that share; at most one at a time. Busy replicas are not failing ones.
 *
 * <pre>{@code
 * ejection.onFailure(node, now);
 * ReplicaFilter filter = ejection.filter(affinity.key(), now);
 * }</pre>
 */
public final class OutlierEjection {
    private static final double LEAST_RAMP_SHARE = 0.05;

    /** Part of a failure domain's replicas that must fail for it to count as lost. */
    private static final double LOST_DOMAIN_SHARE = 0.6;

    private static final int MAX_DOUBLINGS = 10;

    /** What is known of a replica that failed. */
    private static final class Health {
        private int mFailures;
        private int mEjections;
        private boolean mEjected;
        private long mUntilNanos;

        boolean isEjected(long nowNanos) {
            return mEjected && nowNanos - mUntilNanos < 0;
        }
    }

    private final EjectionSettings mSettings;
    private final Map<NodeId, Health> mHealth = new HashMap<>();
    private ReplicaSet mSet;
    private FailureDomain mLostDomain;

    private OutlierEjection(EjectionSettings settings, ReplicaSet set) {
        mSettings = settings;
        mSet = set;
    }

    /** Returns an ejection that holds every replica of the set to be in good health. */
    public static OutlierEjection create(EjectionSettings settings, ReplicaSet set) {
        return new OutlierEjection(settings, set);
    }

    /** Takes a changed set; replicas that are gone are forgotten. */
    public synchronized void onReplicas(ReplicaSet set) {
        if (mSet != set) {
            mSet = set;
            mHealth.keySet().removeIf(node -> set.indexOf(node) < 0);
        }
    }

    /** Notes an answer, or a refusal for load. */
    public synchronized void onSuccess(NodeId node, long nowNanos) {
        var health = mHealth.get(node);
        if (health == null) {
            return;
        }
        health.mFailures = 0;
        if (!health.mEjected || rampShare(health, nowNanos) >= 1) {
            mHealth.remove(node);
        }
    }

    /** Notes a lost connection, a timeout or an error of the backend server. */
    public synchronized void onFailure(NodeId node, long nowNanos) {
        if (mSet.indexOf(node) < 0) {
            return;
        }
        var health = mHealth.computeIfAbsent(node, key -> new Health());
        health.mFailures++;
        if (health.mFailures < mSettings.failures() || health.isEjected(nowNanos)) {
            return;
        }
        updateLostDomain(mSet.replica(mSet.indexOf(node)).domain());
        if (isLost(node)) {
            eject(health, nowNanos);
        } else if (ejectedBesideLost(nowNanos) < maxEjected()) {
            eject(health, nowNanos);
            int ejected = ejectedBesideLost(nowNanos);
            Invariants.check(ejected <= maxEjected(), "%s replicas are ejected", ejected);
        }
    }

    /**
     * Returns a filter for one request.
     *
     * @param key of the request; decides which requests a replica that comes back gets first
     */
    public ReplicaFilter filter(long key, long nowNanos) {
        double draw = (key >>> 11) * 0x1p-53;
        return replica -> allows(replica, draw, nowNanos);
    }

    /** Returns how many replicas are ejected now. */
    public synchronized int ejected(long nowNanos) {
        return (int) mHealth.values().stream().filter(h -> h.isEjected(nowNanos)).count();
    }

    private synchronized boolean allows(Replica replica, double draw, long nowNanos) {
        var health = mHealth.get(replica.node());
        if (health == null || !health.mEjected) {
            return true;
        }
        return draw < rampShare(health, nowNanos);
    }

    private double rampShare(Health health, long nowNanos) {
        if (health.isEjected(nowNanos)) {
            return 0;
        }
        double since = nowNanos - health.mUntilNanos;
        return Math.max(LEAST_RAMP_SHARE, since / mSettings.rampTime().toNanos());
    }

    private void eject(Health health, long nowNanos) {
        long base = mSettings.baseTime().toNanos();
        long time = base << Math.min(health.mEjections, MAX_DOUBLINGS);
        health.mEjections++;
        health.mEjected = true;
        // Coming back, one failure is enough to be ejected again.
        health.mFailures = mSettings.failures() - 1;
        health.mUntilNanos = nowNanos + Math.min(time, mSettings.maxTime().toNanos());
    }

    private int maxEjected() {
        return Math.max(1, (int) (mSettings.maxShare() * mSet.size()));
    }

    private int ejectedBesideLost(long nowNanos) {
        int count = 0;
        for (var entry : mHealth.entrySet()) {
            boolean counts = entry.getValue().isEjected(nowNanos) && !isLost(entry.getKey());
            count += counts ? 1 : 0;
        }
        return count;
    }

    private boolean isLost(NodeId node) {
        int index = mSet.indexOf(node);
        return index >= 0 && mSet.replica(index).domain().equals(mLostDomain);
    }

    /** A domain is lost while most of its replicas fail and another domain is left. */
    private void updateLostDomain(FailureDomain suspect) {
        if (mLostDomain != null && failingShare(mLostDomain) < LOST_DOMAIN_SHARE) {
            mLostDomain = null;
        }
        Set<FailureDomain> domains = new HashSet<>();
        mSet.replicas().forEach(replica -> domains.add(replica.domain()));
        if (mLostDomain == null
                && domains.size() > 1
                && failingShare(suspect) >= LOST_DOMAIN_SHARE) {
            mLostDomain = suspect;
        }
    }

    private double failingShare(FailureDomain domain) {
        int all = 0;
        int failing = 0;
        for (var replica : mSet.replicas()) {
            if (replica.domain().equals(domain)) {
                all++;
                failing += mHealth.containsKey(replica.node()) ? 1 : 0;
            }
        }
        return all == 0 ? 0 : (double) failing / all;
    }
}
