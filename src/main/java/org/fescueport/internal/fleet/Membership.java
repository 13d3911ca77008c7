package org.fescueport.internal.fleet;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.Counter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.placement.LoadEstimator;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaDirectory;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.port.VmList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The replicas of each pool, from the platform's list and from what their agents say. */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    private static final int MAX_REPLICAS_PER_POOL = 4096;

    private static final class Pool {
        private final ReplicaDirectory mDirectory;
        private final LoadEstimator mLoads = LoadEstimator.create(MAX_REPLICAS_PER_POOL);
        private volatile ReplicaSet mReplicas;

        private Pool(PoolId id) {
            mDirectory = ReplicaDirectory.create(id);
            mReplicas = ReplicaSet.of(id, List.of());
        }
    }

    private final VmList mList;
    private final Clock mClock;
    private final Counter mReads;
    private final Counter mFailedReads;
    private final Map<PoolId, Pool> mPools = new ConcurrentHashMap<>();
    private final Map<NodeId, PoolId> mPoolOf = new ConcurrentHashMap<>();
    private volatile boolean mHasList;

    private Membership(VmList list, Clock clock, Telemetry telemetry) {
        mList = list;
        mClock = clock;
        mReads = telemetry.counter("vm_list_reads");
        mFailedReads = telemetry.counter("vm_list_failed_reads");
    }

    public static Membership create(VmList list, Clock clock, Telemetry telemetry) {
        return new Membership(list, clock, telemetry);
    }

    /** Reads the platform's list once; without an answer the last one stays in use. */
    public void refresh() {
        mReads.increment();
        mList.list()
                .whenComplete(
                        (vms, failure) -> {
                            if (failure != null) {
                                mFailedReads.increment();
                            } else {
                                onList(vms);
                            }
                        });
    }

    /** Returns whether the list was read at least once. */
    public boolean isReady() {
        return mHasList;
    }

    public ReplicaSet replicas(PoolId id) {
        return pool(id).mReplicas;
    }

    /** Returns the live replica of this name. */
    public Optional<Replica> find(NodeId node) {
        var id = mPoolOf.get(node);
        if (id == null) {
            return Optional.empty();
        }
        var set = replicas(id);
        int index = set.indexOf(node);
        return index < 0 ? Optional.empty() : Optional.of(set.replica(index));
    }

    /** Returns live replicas of all pools, at most {@code most}. */
    public List<Replica> all(int most) {
        return mPools.values().stream()
                .flatMap(pool -> pool.mReplicas.replicas().stream())
                .limit(most)
                .toList();
    }

    /** Returns the replicas of a pool that are listed as live, whether or not they serve. */
    public List<Replica> listed(PoolId id) {
        var pool = pool(id);
        synchronized (pool) {
            return pool.mDirectory.listedReplicas(mClock.monotonicTime());
        }
    }

    /** Returns the replicas of all pools that are listed as live, whether or not they serve. */
    public List<Replica> listed() {
        return mPools.keySet().stream().flatMap(id -> listed(id).stream()).toList();
    }

    public LoadEstimator loads(PoolId id) {
        return pool(id).mLoads;
    }

    public void onHello(NodeId node, Hello hello) {
        change(
                node,
                (directory, now) -> {
                    directory.onHello(node, hello.getIncarnation(), hello.getLeaving(), now);
                    directory.onServesNothing(
                            node, hello.getIncarnation(), hello.getServesNothing(), now);
                });
    }

    public void onLeaving(NodeId node, long incarnation) {
        LOG.info("{} is leaving", node);
        change(node, (directory, now) -> directory.onLeaving(node, incarnation, now));
    }

    public void onClosed(NodeId node) {
        change(node, (directory, now) -> directory.onConnectionClosed(node, now));
    }

    public void onUnreachable(NodeId node) {
        change(node, (directory, now) -> directory.onUnreachable(node));
    }

    private interface Change {
        void apply(ReplicaDirectory directory, long nowNanos);
    }

    private void change(NodeId node, Change change) {
        var id = mPoolOf.get(node);
        if (id == null) {
            return;
        }
        var pool = pool(id);
        synchronized (pool) {
            long now = mClock.monotonicTime();
            change.apply(pool.mDirectory, now);
            pool.mReplicas = pool.mDirectory.replicas(now);
        }
    }

    private void onList(List<VmList.Vm> vms) {
        Map<PoolId, List<ReplicaDirectory.ListedReplica>> byPool = new HashMap<>();
        mPools.keySet().forEach(id -> byPool.put(id, new ArrayList<>()));
        for (var vm : vms) {
            if ("agent".equals(vm.labels().get("role"))) {
                var id = PoolId.of(vm.labels().getOrDefault("pool", ""));
                mPoolOf.put(NodeId.of(vm.id()), id);
                byPool.computeIfAbsent(id, unused -> new ArrayList<>()).add(listed(vm));
            }
        }
        byPool.forEach(this::apply);
        mHasList = true;
    }

    private void apply(PoolId id, List<ReplicaDirectory.ListedReplica> listed) {
        var pool = pool(id);
        synchronized (pool) {
            long now = mClock.monotonicTime();
            pool.mDirectory.onVmList(listed, now);
            pool.mReplicas = pool.mDirectory.replicas(now);
            pool.mLoads.retain(pool.mReplicas);
        }
    }

    private Pool pool(PoolId id) {
        return mPools.computeIfAbsent(id, Pool::new);
    }

    private static ReplicaDirectory.ListedReplica listed(VmList.Vm vm) {
        return new ReplicaDirectory.ListedReplica(
                NodeId.of(vm.id()),
                FailureDomain.of(vm.failureDomain()),
                vm.address() + ":" + vm.labels().getOrDefault("port", "0"),
                1,
                vm.state() == VmList.State.LEAVING);
    }
}
