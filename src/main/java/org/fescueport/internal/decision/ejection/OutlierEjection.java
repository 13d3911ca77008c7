package org.fescueport.internal.decision.ejection;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaSet;

/**
 * Keeps requests away from failing replicas of a pool, and ramps their traffic up again afterwards.
 *
 * <p>At most a configured fraction of the pool is ejected at the same time, so that a router whose
 * own network is faulty does not eject every replica. A lost failure domain is ejected as a whole,
 * in addition to that fraction, and its traffic ramps up as a whole; see {@link
 * FailureDomainMonitor}. A replica that is busy does not count as failing.
 *
 * <p>A replica is ejected for consecutive failures and, where its pool is judged by {@link
 * FailureShares}, also for a share of failures far above that of the other replicas.
 *
 * <pre>{@code
 * ejection.onFailure(node, now);
 * ReplicaFilter filter = ejection.filter(affinity.key(), now);
 * }</pre>
 */
public final class OutlierEjection {
    /** Fraction of the replicas of a failure domain that must fail for it to count as lost. */
    private static final double LOST_DOMAIN_SHARE = 0.6;

    /** Weight of a loss at another router, relative to a failure at this one. */
    private static final double REPORT_WEIGHT = 0.5;

    /** The state of a replica that has failed. */
    private static final class Health {
        private final Ejection mEjection;
        private double mFailures;
        private long mLastFailureNanos;
        private boolean mEjectedForShare;

        Health(EjectionSettings settings) {
            mEjection = new Ejection(settings);
        }
    }

    private final EjectionSettings mSettings;
    private final Map<NodeId, Health> mHealth = new HashMap<>();
    private final FailureDomainMonitor mDomainMonitor;
    private final ReportedReplicas mReports = new ReportedReplicas();
    private final BooleanSupplier mJudgesShares;
    private final FailureShares mShares = new FailureShares();
    private ReplicaSet mSet;
    private long mShareEjections;

    private OutlierEjection(
            EjectionSettings settings, ReplicaSet set, BooleanSupplier judgesShares) {
        mSettings = settings;
        mJudgesShares = judgesShares;
        mDomainMonitor = new FailureDomainMonitor(settings);
        mSet = set;
        mDomainMonitor.onReplicas(set);
    }

    /** Returns an ejection that takes every replica of the set to be healthy. */
    public static OutlierEjection create(EjectionSettings settings, ReplicaSet set) {
        return create(settings, set, () -> false);
    }

    /**
     * Returns an ejection that takes every replica of the set to be healthy.
     *
     * @param judgesShares whether replicas are also ejected for their share of failures
     */
    public static OutlierEjection create(
            EjectionSettings settings, ReplicaSet set, BooleanSupplier judgesShares) {
        return new OutlierEjection(settings, set, judgesShares);
    }

    /** Updates the set of replicas; forgets those that are gone or were replaced. */
    public synchronized void onReplicas(ReplicaSet set) {
        if (mSet != set) {
            var previous = mSet;
            mSet = set;
            mHealth.keySet().removeIf(node -> isGone(node, previous, set));
            mShares.nodes().removeIf(node -> isGone(node, previous, set));
            mDomainMonitor.onReplicas(set);
        }
    }

    /** Records an answer of a replica, or a refusal because of its load. */
    public synchronized void onSuccess(NodeId node, long nowNanos) {
        int index = mSet.indexOf(node);
        if (index < 0) {
            return;
        }
        mDomainMonitor.onSuccess(mSet.replica(index).domain(), nowNanos);
        if (mJudgesShares.getAsBoolean()) {
            mShares.add(node, false, nowNanos);
        }
        var health = mHealth.get(node);
        if (health == null) {
            return;
        }
        health.mFailures = 0;
        if (health.mEjection.share(nowNanos) >= 1 && !isStillJudged(health, nowNanos)) {
            mHealth.remove(node);
        }
    }

    /**
     * Returns whether a replica was ejected for its share of failures a short while ago. Successes
     * between the failures do not end that, so its next ejection lasts longer.
     */
    private boolean isStillJudged(Health health, long nowNanos) {
        return health.mEjectedForShare
                && nowNanos - health.mLastFailureNanos <= mSettings.maxEjectionTime().toNanos();
    }

    /**
     * Records that other routers have lost answers of a replica. Each counts less than a failure
     * here, and reports about many replicas at once are ignored: they tell of a network rather than
     * of a replica.
     */
    public synchronized void onReportedLosses(NodeId node, int answers, long nowNanos) {
        if (mSet.indexOf(node) >= 0 && mReports.isPlausible(node, mSet.size(), nowNanos)) {
            addFailures(node, REPORT_WEIGHT * answers, nowNanos);
        }
    }

    /** Records a lost connection, a timeout or an error of the backend server. */
    public synchronized void onFailure(NodeId node, long nowNanos) {
        int index = mSet.indexOf(node);
        if (index < 0) {
            return;
        }
        mDomainMonitor.onFailure(mSet.replica(index).domain(), node, nowNanos);
        addFailures(node, 1, nowNanos);
        if (mJudgesShares.getAsBoolean()) {
            mShares.add(node, true, nowNanos);
            ejectForShare(node, nowNanos);
        }
    }

    private void ejectForShare(NodeId node, long nowNanos) {
        var health = mHealth.get(node);
        var domain = mSet.replica(mSet.indexOf(node)).domain();
        if (health.mEjection.isActive(nowNanos)
                || mDomainMonitor.isEjected(domain, nowNanos)
                || individuallyEjected(nowNanos) >= maxEjected()
                || !mShares.standsOut(node, nowNanos)) {
            return;
        }
        health.mEjection.begin(nowNanos);
        health.mEjectedForShare = true;
        mShares.onEjected(node);
        mShareEjections++;
    }

    /** Returns how many times a replica has been ejected for its share of failures. */
    public synchronized long shareEjections() {
        return mShareEjections;
    }

    private void addFailures(NodeId node, double failures, long nowNanos) {
        var domain = mSet.replica(mSet.indexOf(node)).domain();
        var health = mHealth.computeIfAbsent(node, key -> new Health(mSettings));
        boolean recent = nowNanos - health.mLastFailureNanos <= retention().toNanos();
        health.mFailures = recent ? health.mFailures + failures : failures;
        health.mLastFailureNanos = nowNanos;
        if (health.mFailures < mSettings.consecutiveFailures()
                || health.mEjection.isActive(nowNanos)) {
            return;
        }
        if (failingShare(domain) >= LOST_DOMAIN_SHARE) {
            mDomainMonitor.eject(domain, nowNanos);
        }
        if (!mDomainMonitor.isEjected(domain, nowNanos)
                && individuallyEjected(nowNanos) < maxEjected()) {
            eject(health, nowNanos);
            int ejected = individuallyEjected(nowNanos);
            Invariants.check(ejected <= maxEjected(), "%s replicas are ejected", ejected);
        }
    }

    /**
     * Returns a filter for one request.
     *
     * @param key key of the request; determines which requests a replica that is ramping up gets
     *     first
     */
    public ReplicaFilter filter(long key, long nowNanos) {
        double draw = (key >>> 11) * 0x1p-53;
        return replica -> allows(replica, draw, nowNanos);
    }

    /** Returns the number of replicas that are ejected now. */
    public synchronized int ejected(long nowNanos) {
        int count = individuallyEjected(nowNanos);
        for (var replica : mSet.replicas()) {
            count += mDomainMonitor.isEjected(replica.domain(), nowNanos) ? 1 : 0;
        }
        return count;
    }

    private synchronized boolean allows(Replica replica, double draw, long nowNanos) {
        if (draw >= mDomainMonitor.share(replica.domain(), nowNanos)) {
            return false;
        }
        var health = mHealth.get(replica.node());
        return health == null || draw < health.mEjection.share(nowNanos);
    }

    private static boolean isGone(NodeId node, ReplicaSet previous, ReplicaSet set) {
        int before = previous.indexOf(node);
        int now = set.indexOf(node);
        return before < 0
                || now < 0
                || !previous.replica(before).address().equals(set.replica(now).address());
    }

    private void eject(Health health, long nowNanos) {
        health.mEjection.begin(nowNanos);
        // After the ejection, a single failure before the next success ejects the replica again.
        health.mFailures = mSettings.consecutiveFailures() - 1;
    }

    /**
     * Returns the time after which a failure no longer counts, for replicas that this router sends
     * few requests to. It is longer than an ejection and the ramp-up after it.
     */
    private Duration retention() {
        return mSettings.maxEjectionTime().plus(mSettings.rampUpTime()).multipliedBy(2);
    }

    private int maxEjected() {
        return Math.max(1, (int) (mSettings.maxEjectedShare() * mSet.size()));
    }

    private int individuallyEjected(long nowNanos) {
        int count = 0;
        for (var entry : mHealth.entrySet()) {
            var domain = mSet.replica(mSet.indexOf(entry.getKey())).domain();
            boolean active = entry.getValue().mEjection.isActive(nowNanos);
            count += active && !mDomainMonitor.isEjected(domain, nowNanos) ? 1 : 0;
        }
        return count;
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
