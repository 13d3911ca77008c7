package org.fescueport.internal.decision.ejection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.ReplicaSet;

/**
 * Detects the loss of a failure domain by consecutive failures at several of its replicas.
 *
 * <p>One router sends only few requests to each replica of a large pool, so the loss of a domain
 * shows as failures across the domain long before any of its replicas has failed several times. A
 * domain counts as lost if it has not answered between those failures while another domain has: a
 * router whose own network is faulty gets no answers from other domains either. At most one domain
 * counts as lost at a time.
 */
final class FailureDomainMonitor {
    /** Consecutive failures of one domain. */
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
        if (domain.equals(mLostDomain) && mEjection.share(nowNanos) >= 1) {
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

    /** Ejects a domain as a whole, if no other domain counts as lost and another one exists. */
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

    /** Returns the fraction of its usual traffic that a domain gets now; at least 1 means all. */
    double share(FailureDomain domain, long nowNanos) {
        return domain.equals(mLostDomain) ? mEjection.share(nowNanos) : 1;
    }

    /**
     * Returns the number of failing replicas for which a domain is ejected. It is lower for a
     * domain whose traffic is ramping up, but never one, since that may be a single faulty replica.
     */
    private int requiredFailingReplicas(FailureDomain domain) {
        int required = mSettings.failingDomainReplicas() - (domain.equals(mLostDomain) ? 1 : 0);
        return Math.max(2, Math.min(required, mSizes.get(domain)));
    }
}
