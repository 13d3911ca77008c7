package org.fescueport.internal.decision.ejection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.ReplicaSet;

/**
 * Tells a lost failure domain by failures in a row at several of its replicas.
 *
 * <p>One router sends few requests to each replica of a large pool, so a lost domain shows in
 * failures all over it long before any of its replicas has failed several times. The domain counts
 * as lost when it has not answered between those failures while another domain has: a router whose
 * own network is bad hears no other domain either. At most one domain is lost at a time.
 */
final class FailureDomainMonitor {
    /** Failures in a row of one domain. */
    private static final class FailureStreak {
        final Set<NodeId> mNodes = new HashSet<>();
        boolean mOtherDomainAnswered;
    }

    private final EjectionSettings mSettings;
    private final Map<FailureDomain, Integer> mSizes = new HashMap<>();
    private final Map<FailureDomain, FailureStreak> mStreaks = new HashMap<>();
    private FailureDomain mLostDomain;
    private Ejection mEjection;

    FailureDomainMonitor(EjectionSettings settings) {
        mSettings = settings;
    }

    void onReplicas(ReplicaSet set) {
        mSizes.clear();
        set.replicas().forEach(replica -> mSizes.merge(replica.domain(), 1, Integer::sum));
        mStreaks.keySet().retainAll(mSizes.keySet());
        if (mLostDomain != null && !mSizes.containsKey(mLostDomain)) {
            mLostDomain = null;
        }
    }

    void onSuccess(FailureDomain domain, long nowNanos) {
        mStreaks.remove(domain);
        mStreaks.values().forEach(streak -> streak.mOtherDomainAnswered = true);
        if (domain.equals(mLostDomain) && mEjection.trafficShare(nowNanos) >= 1) {
            mLostDomain = null;
        }
    }

    void onFailure(FailureDomain domain, NodeId node, long nowNanos) {
        if (isEjected(domain, nowNanos)) {
            return;
        }
        var streak = mStreaks.computeIfAbsent(domain, key -> new FailureStreak());
        streak.mNodes.add(node);
        if (streak.mOtherDomainAnswered
                && streak.mNodes.size() >= requiredFailingReplicas(domain)) {
            eject(domain, nowNanos);
        }
    }

    /** Ejects a domain as one, if no other is lost and another is left. */
    void eject(FailureDomain domain, long nowNanos) {
        boolean noOtherLost = mLostDomain == null || mLostDomain.equals(domain);
        if (!noOtherLost || mSizes.size() < 2 || isEjected(domain, nowNanos)) {
            return;
        }
        if (mLostDomain == null) {
            mLostDomain = domain;
            mEjection = new Ejection(mSettings);
        }
        mEjection.begin(nowNanos);
        mStreaks.remove(domain);
    }

    boolean isEjected(FailureDomain domain, long nowNanos) {
        return domain.equals(mLostDomain) && mEjection.isActive(nowNanos);
    }

    /** Returns the share of its traffic that a domain gets now; at least 1 for all of it. */
    double trafficShare(FailureDomain domain, long nowNanos) {
        return domain.equals(mLostDomain) ? mEjection.trafficShare(nowNanos) : 1;
    }

    /** Fewer for a domain that is on its way back, but never one: that may be a bad replica. */
    private int requiredFailingReplicas(FailureDomain domain) {
        int required = mSettings.failingDomainReplicas() - (domain.equals(mLostDomain) ? 1 : 0);
        return Math.max(2, Math.min(required, mSizes.get(domain)));
    }
}
