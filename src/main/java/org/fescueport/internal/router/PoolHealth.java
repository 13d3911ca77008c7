package org.fescueport.internal.router;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.ejection.EjectionSettings;
import org.fescueport.internal.decision.ejection.OutlierEjection;
import org.fescueport.internal.decision.placement.ReplicaSet;

/** Which replicas of each pool a router keeps requests away from. */
final class PoolHealth {
    private final Map<PoolId, OutlierEjection> mPools = new ConcurrentHashMap<>();

    private PoolHealth() {}

    static PoolHealth create() {
        return new PoolHealth();
    }

    OutlierEjection of(PoolId pool, ReplicaSet set) {
        var ejection =
                mPools.computeIfAbsent(
                        pool, id -> OutlierEjection.create(EjectionSettings.defaults(), set));
        ejection.onReplicas(set);
        return ejection;
    }
}
