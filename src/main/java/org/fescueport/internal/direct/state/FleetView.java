package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.log.EventLog;

/**
 * What this node believes of the configuration and of the replicas.
 *
 * <p>Versions and places only go forward, whichever way a record came, also when the store has come
 * back from an older copy. Used by the event loop alone.
 */
public final class FleetView {
    /** Told when the believed replicas have changed. */
    @FunctionalInterface
    public interface ReplicaListener {
        /** Called after the change. */
        void onReplicasChanged();
    }

    private final StateDecoder mDecoder;
    private final EventLog mLog;
    private final RemovalGracePeriod mRemovalGrace;
    private final ReplicaRecords mReplicas;
    private Map<PoolId, ReplicaSet> mPools = Map.of();
    private Map<PoolId, ReplicaSet> mNotLeaving = Map.of();
    private Map<PoolId, ReplicaSet> mCacheHolders = Map.of();
    private Optional<FleetConfiguration> mConfiguration = Optional.empty();
    private Optional<StateRecord> mConfigurationRecord = Optional.empty();
    private final DrainedDomains mDrained = new DrainedDomains();
    private StorePosition mNextConfiguration = StorePosition.START;
    private ReplicaListener mListener = () -> {};

    private FleetView(StateDecoder decoder, EventLog log, RemovalGracePeriod grace) {
        mDecoder = decoder;
        mLog = log;
        mRemovalGrace = grace;
        mReplicas = new ReplicaRecords(decoder, log, grace);
    }

    /**
     * Returns a view that believes nothing yet.
     *
     * @param maxUseAfterRemoval longest time a replica may be used after its removal has been read;
     *     an entry that lapsed and one that was taken away look alike, so it bounds both
     */
    public static FleetView create(
            StateDecoder decoder, EventLog log, Duration maxUseAfterRemoval) {
        return new FleetView(decoder, log, RemovalGracePeriod.boundedBy(maxUseAfterRemoval));
    }

    /** Sets who is told of changed replicas. */
    public void listen(ReplicaListener listener) {
        mListener = listener;
    }

    /** Returns the configuration in force, once one is known. */
    public Optional<FleetConfiguration> configuration() {
        return mConfiguration;
    }

    /** Returns whether both a configuration and the list of replicas have been read. */
    public boolean isComplete() {
        return mConfiguration.isPresent() && mReplicas.areListed();
    }

    /** Returns the replicas of a pool that take new work. */
    public ReplicaSet pool(PoolId pool) {
        return orEmpty(pool, mPools.get(pool));
    }

    /** Returns the replicas of a pool that stay, also those in drained failure domains. */
    public ReplicaSet notLeaving(PoolId pool) {
        return orEmpty(pool, mNotLeaving.get(pool));
    }

    /** Returns the replicas of a pool that may hold prompts, also those that are leaving. */
    public ReplicaSet cacheHolders(PoolId pool) {
        return orEmpty(pool, mCacheHolders.get(pool));
    }

    private static ReplicaSet orEmpty(PoolId pool, ReplicaSet set) {
        return set == null ? ReplicaSet.of(pool, List.of()) : set;
    }

    /** Returns whether a replica has been there since before this time. */
    public boolean joinedBefore(NodeId id, long nanos) {
        return mReplicas.joinedBefore(id, nanos);
    }

    /** Returns whether a replica has not warmed up, by its own word. */
    public boolean isCold(NodeId id, long nowNanos) {
        return mReplicas.isCold(id, nowNanos);
    }

    /** Returns the pools that have a replica which takes new work. */
    public Set<PoolId> pools() {
        return mPools.keySet();
    }

    /** Returns all replicas, also those that are leaving. */
    public Set<NodeId> replicaIds() {
        return mReplicas.ids();
    }

    /** Returns the entry of a replica, also of one that is leaving. */
    public Optional<ReplicaEntry> replica(NodeId id) {
        return mReplicas.entry(id);
    }

    /** Returns the version of the configuration in force, once one is known. */
    public OptionalLong configurationVersion() {
        return mConfiguration.stream().mapToLong(FleetConfiguration::version).findFirst();
    }

    /** Returns the place behind all that is known of drained failure domains. */
    public StorePosition drainedEnd() {
        return mDrained.end();
    }

    /** Returns the place of the next record to read of a topic. */
    public StorePosition next(StateTopic topic) {
        return topic == StateTopic.CONFIGURATION ? mNextConfiguration : mReplicas.next();
    }

    /** Notes that the store has just answered again after it had not, or in a new era. */
    public void onStoreRecovered(long nowNanos) {
        mRemovalGrace.start(nowNanos);
    }

    /** Returns how long removed entries may still come back; 0 when the store is steady. */
    public Duration removalGrace(long nowNanos) {
        return Duration.ofNanos(mRemovalGrace.remainingNanos(nowNanos));
    }

    /** Notes that a peer counts on removed entries to come back within this time. */
    public void onPeerRemovalGrace(Duration remaining, long nowNanos) {
        mRemovalGrace.extend(remaining, nowNanos);
    }

    /**
     * Returns whether this batch can be taken, so that no record before it is missed. A record of
     * the configuration is complete in itself.
     */
    public boolean canApply(RecordBatch batch) {
        return batch.topic() == StateTopic.CONFIGURATION
                || batch.whole()
                || !next(batch.topic()).isBefore(batch.from());
    }

    /** Takes records in; returns those that changed something, from whichever source they came. */
    public List<StateRecord> applyBatch(RecordBatch batch, long nowNanos) {
        List<StateRecord> news = new ArrayList<>();
        boolean changed =
                switch (batch.topic()) {
                    case REPLICAS -> mReplicas.applyBatch(batch, nowNanos, news);
                    case CONFIGURATION -> applyConfigurationBatch(batch, nowNanos, news);
                    case NODES -> false;
                };
        if (changed) {
            publish();
        }
        return news;
    }

    /** Returns whether the replicas that take work may have changed. */
    private boolean applyConfigurationBatch(
            RecordBatch batch, long nowNanos, List<StateRecord> news) {
        boolean changed = false;
        for (var record : batch.records()) {
            Optional<FailureDomain> drained = mDecoder.drainedDomain(record.key());
            boolean isNew =
                    drained.isPresent()
                            ? applyDrained(drained.get(), record)
                            : applyConfiguration(record);
            if (isNew) {
                news.add(record);
            }
            changed |= isNew && drained.isPresent();
        }
        if (batch.whole() && !batch.end().isBefore(mNextConfiguration)) {
            changed |= endMissingDrains(batch, nowNanos);
        }
        if (mNextConfiguration.isBefore(batch.end())) {
            mNextConfiguration = batch.end();
        }
        return changed;
    }

    /** Returns the newest record of every key that is known. */
    public RecordBatch snapshot(StateTopic topic) {
        return topic == StateTopic.CONFIGURATION
                ? new RecordBatch(
                        topic,
                        StorePosition.START,
                        mNextConfiguration,
                        true,
                        configurationRecords())
                : mReplicas.snapshot();
    }

    private List<StateRecord> configurationRecords() {
        List<StateRecord> records = new ArrayList<>(mDrained.records());
        mConfigurationRecord.ifPresent(records::add);
        return records;
    }

    /** Returns what somebody lacks who knows all replicas before this place. */
    public RecordBatch replicasSince(StorePosition from) {
        return mReplicas.since(from);
    }

    /**
     * Returns the replicas that are gone although the store lists them since it came back, for
     * somebody who may have begun after they went.
     *
     * @param known what that node has told that it knows
     */
    public RecordBatch departedButListed(StorePosition known) {
        return mReplicas.departedButListed(known);
    }

    /** Drops the lapsed entries whose time is over. */
    public void expire(long nowNanos) {
        boolean changed = mReplicas.expire(nowNanos);
        if (mDrained.expire(nowNanos)) {
            logDrained();
            changed = true;
        }
        if (changed) {
            publish();
        }
    }

    private boolean applyDrained(FailureDomain domain, StateRecord record) {
        if (!mDrained.update(domain, record)) {
            return false;
        }
        logDrained();
        return true;
    }

    private void logDrained() {
        mLog.change("drained-domains").with("domains", mDrained).write();
    }

    /** Ends the draining of domains that a whole list does not name. */
    private boolean endMissingDrains(RecordBatch batch, long nowNanos) {
        Set<FailureDomain> listed = new HashSet<>();
        for (var record : batch.records()) {
            mDecoder.drainedDomain(record.key()).ifPresent(listed::add);
        }
        long until = nowNanos + RemovalGracePeriod.REREGISTRATION_TIME.toNanos();
        boolean changed = mDrained.endUnlisted(listed, batch.end(), until);
        if (changed) {
            logDrained();
        }
        return changed;
    }

    private boolean applyConfiguration(StateRecord record) {
        if (record.value().isEmpty() || !mDecoder.isConfiguration(record.key())) {
            return false;
        }
        try {
            var configuration = mDecoder.configuration(record.value().get());
            long current = mConfiguration.map(FleetConfiguration::version).orElse(-1L);
            if (configuration.version() <= current) {
                return false;
            }
            mConfiguration = Optional.of(configuration);
            mConfigurationRecord = Optional.of(record);
            mLog.change("configuration-in-force")
                    .with("version", configuration.version())
                    .with("position", record.position())
                    .write();
            return true;
        } catch (StateDecoder.UnusableRecordException e) {
            mLog.change("configuration-unusable")
                    .with("position", record.position())
                    .with("reason", e.getMessage())
                    .write();
            return false;
        }
    }

    private void publish() {
        mPools = byPool(entry -> !entry.leaving() && !mDrained.contains(entry.domain()));
        mNotLeaving = mDrained.isNoneDrained() ? mPools : byPool(entry -> !entry.leaving());
        mCacheHolders = byPool(entry -> true);
        mListener.onReplicasChanged();
    }

    private Map<PoolId, ReplicaSet> byPool(Predicate<ReplicaEntry> includes) {
        Map<PoolId, List<Replica>> replicas = new HashMap<>();
        for (var entry : mReplicas.entries()) {
            if (includes.test(entry)) {
                replicas.computeIfAbsent(entry.pool(), pool -> new ArrayList<>())
                        .add(replicaOf(entry));
            }
        }
        Map<PoolId, ReplicaSet> pools = new HashMap<>();
        replicas.forEach((pool, list) -> pools.put(pool, ReplicaSet.of(pool, list)));
        return Map.copyOf(pools);
    }

    private static Replica replicaOf(ReplicaEntry entry) {
        String address = entry.address().toString();
        double weight = Math.max(1, entry.slots());
        return new Replica(entry.id(), entry.domain(), address, weight, entry.startedAtMillis());
    }
}
