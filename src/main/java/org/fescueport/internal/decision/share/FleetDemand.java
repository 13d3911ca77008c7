package org.fescueport.internal.decision.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueport.internal.decision.PoolId;

/**
 * What this node knows of the demand for each pool: its own, that of the nodes behind it in the
 * tree of nodes, and that of the whole fleet.
 *
 * <p>Sums go up the tree and the sum of all comes back down; each node derives its share from it.
 * Nothing is told while no node is short of capacity. A node without recent word of the fleet uses
 * its own demand only. This class is not thread-safe.
 *
 * @param <P> identifies the connection to another node
 */
public final class FleetDemand<P> {
    /** Age after which what other nodes have told does not count. */
    private static final Duration MAX_AGE = Duration.ofSeconds(4);

    private record Told(Map<PoolId, PoolDemand> pools, long atNanos) {
        boolean isRecent(long nowNanos) {
            return nowNanos - atNanos <= MAX_AGE.toNanos();
        }
    }

    private final Map<PoolId, DemandMeter> mMeters = new HashMap<>();
    private final Map<P, Told> mBehind = new HashMap<>();
    private Optional<Told> mFleet = Optional.empty();

    private FleetDemand() {}

    /** Returns a record without any demand. */
    public static <P> FleetDemand<P> create() {
        return new FleetDemand<>();
    }

    /** Returns the meter of this node's own demand. */
    public DemandMeter meter(PoolId pool) {
        return mMeters.computeIfAbsent(pool, key -> DemandMeter.create());
    }

    /** Removes the meters of pools that no longer exist. */
    public void retain(Set<PoolId> pools) {
        mMeters.keySet().retainAll(pools);
    }

    /** Records the sum of the nodes behind a connection. */
    public void onBehind(P connection, Map<PoolId, PoolDemand> pools, long nowNanos) {
        mBehind.put(connection, new Told(Map.copyOf(pools), nowNanos));
    }

    /** Forgets the nodes behind a connection. */
    public void onClosed(P connection) {
        mBehind.remove(connection);
    }

    /** Records the sum of the whole fleet. */
    public void onFleet(Map<PoolId, PoolDemand> pools, long nowNanos) {
        mFleet = Optional.of(new Told(Map.copyOf(pools), nowNanos));
    }

    /**
     * Returns the sums of this node and those behind it, for the pools of which any node of the
     * fleet is short.
     *
     * @param isShort whether this node is short of a pool
     */
    public Map<PoolId, PoolDemand> subtree(Predicate<PoolId> isShort, long nowNanos) {
        mBehind.values().removeIf(told -> !told.isRecent(nowNanos));
        Map<PoolId, PoolDemand> sums = new HashMap<>();
        for (var entry : mMeters.entrySet()) {
            PoolId pool = entry.getKey();
            List<PoolDemand> parts = new ArrayList<>();
            parts.add(PoolDemand.of(entry.getValue().teams(nowNanos), isShort.test(pool)));
            mBehind.values().forEach(told -> addTo(parts, told.pools().get(pool)));
            var sum = PoolDemand.sum(parts);
            if (sum.isShort() || isFleetShort(pool, nowNanos)) {
                sums.put(pool, sum);
            }
        }
        return sums;
    }

    /** Returns the share of this node; {@link NodeShare#NONE} without recent word of the fleet. */
    public NodeShare share(PoolId pool, long nowNanos) {
        return fleet(pool, nowNanos)
                .map(fleet -> NodeShare.of(meter(pool).teams(nowNanos), fleet))
                .orElse(NodeShare.NONE);
    }

    private boolean isFleetShort(PoolId pool, long nowNanos) {
        return fleet(pool, nowNanos).filter(PoolDemand::isShort).isPresent();
    }

    private Optional<PoolDemand> fleet(PoolId pool, long nowNanos) {
        return mFleet.filter(told -> told.isRecent(nowNanos)).map(told -> told.pools().get(pool));
    }

    private static void addTo(List<PoolDemand> parts, PoolDemand demand) {
        if (demand != null) {
            parts.add(demand);
        }
    }
}
