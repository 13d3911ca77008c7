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
 * This node's view of the configuration and of the replicas, built from records of the store that
 * come from the store itself or from peers.
 *
 * <p>Versions and positions never move backwards, whichever source a record came from, also after
 * the store was restored from an older backup. Not thread-safe; used only on the event loop.
 */
public final class FleetView {
    /** Notified when the replicas in the view have changed. */
    @FunctionalInterface
    public interface ReplicaListener {
        /** Called after the change. */
        void onReplicasChanged();
    }

    private final StateDecoder mDecoder;
    private final EventLog mLog;
    private final RemovalGracePeriod mRemovalGrace;
    private final StoreContact mContact;
    private final ReplicaRecords mReplicas;
    private Map<PoolId, ReplicaSet> mPools = Map.of();
    private Map<PoolId, ReplicaSet> mNotLeaving = Map.of();
    private Map<PoolId, ReplicaSet> mCacheHolders = Map.of();
    private Optional<FleetConfiguration> mConfiguration = Optional.empty();
    private Optional<StateRecord> mConfigurationRecord = Optional.empty();
    private final DrainedDomains mDrained = new DrainedDomains();
    private final UnusableEntries mUnusable;
    private long mUnusableMemories;
    private StorePosition mNextConfiguration = StorePosition.START;
    private ReplicaListener mListener = () -> {};

    private FleetView(
            StateDecoder decoder, EventLog log, RemovalGracePeriod grace, StoreContact contact) {
        mDecoder = decoder;
        mLog = log;
        mRemovalGrace = grace;
        mContact = contact;
        mReplicas = new ReplicaRecords(decoder, log, grace);
        mUnusable = new UnusableEntries(log, "configuration-unusable", "key");
    }

    /**
     * Returns an empty view.
     *
     * @param maxUseAfterRemoval longest time for which a replica may be used after its removal has
     *     been read; an expired entry cannot be distinguished from one that was removed, so the
     *     limit applies to both
     * @param heartbeat interval at which live replicas write their entries
     */
    public static FleetView create(
            StateDecoder decoder, EventLog log, Duration maxUseAfterRemoval, Duration heartbeat) {
        return new FleetView(
                decoder,
                log,
                RemovalGracePeriod.boundedBy(maxUseAfterRemoval),
                StoreContact.of(heartbeat));
    }

    /** Sets the listener for changes of the replicas; it replaces the previous one. */
    public void listen(ReplicaListener listener) {
        mListener = listener;
    }

    /** Returns the configuration in force, or empty if none has been read yet. */
    public Optional<FleetConfiguration> configuration() {
        return mConfiguration;
    }

    /** Returns whether both a configuration and the list of replicas have been read. */
    public boolean isComplete() {
        return mConfiguration.isPresent() && mReplicas.areListed();
    }

    /** Returns whether a whole list of replicas has been read. */
    public boolean areReplicasListed() {
        return mReplicas.areListed();
    }

    /** Returns the replicas of a pool that accept new requests. */
    public ReplicaSet pool(PoolId pool) {
        return orEmpty(pool, mPools.get(pool));
    }

    /**
     * Returns the replicas of a pool that are not leaving, including those in drained failure
     * domains.
     */
    public ReplicaSet notLeaving(PoolId pool) {
        return orEmpty(pool, mNotLeaving.get(pool));
    }

    /** Returns the replicas of a pool that may have prompts cached, including leaving ones. */
    public ReplicaSet cacheHolders(PoolId pool) {
        return orEmpty(pool, mCacheHolders.get(pool));
    }

    private static ReplicaSet orEmpty(PoolId pool, ReplicaSet set) {
        return set == null ? ReplicaSet.of(pool, List.of()) : set;
    }

    /** Returns whether a replica joined before the given monotonic time. */
    public boolean joinedBefore(NodeId id, long nanos) {
        return mReplicas.joinedBefore(id, nanos);
    }

    /** Returns whether a replica has not warmed up yet, according to its own record. */
    public boolean isCold(NodeId id, long nowNanos) {
        return mReplicas.isCold(id, nowNanos);
    }

    /** Returns the pools that have at least one replica that accepts new requests. */
    public Set<PoolId> pools() {
        return mPools.keySet();
    }

    /** Returns the IDs of all replicas, including leaving ones. */
    public Set<NodeId> replicaIds() {
        return mReplicas.ids();
    }

    /**
     * Returns the entry of a replica, also if it is leaving, or empty if the replica is unknown.
     */
    public Optional<ReplicaEntry> replica(NodeId id) {
        return mReplicas.entry(id);
    }

    /** Returns how often the entry of a replica became unusable, or for another reason. */
    public long unusableReplicas() {
        return mReplicas.unusableCount();
    }

    /** Returns how often the newest configuration became unusable, or for another reason. */
    public long unusableConfigurations() {
        return mUnusable.count();
    }

    /** Returns how many times a configuration stated a pool's memory in a way that is unusable. */
    public long unusableMemories() {
        return mUnusableMemories;
    }

    /** Returns the version of the configuration in force, or empty if none has been read yet. */
    public OptionalLong configurationVersion() {
        return mConfiguration.stream().mapToLong(FleetConfiguration::version).findFirst();
    }

    /** Returns the position after the newest known record about drained failure domains. */
    public StorePosition drainedEnd() {
        return mDrained.end();
    }

    /** Returns the position of the next record to read from a topic. */
    public StorePosition next(StateTopic topic) {
        return topic == StateTopic.CONFIGURATION ? mNextConfiguration : mReplicas.next();
    }

    /** Starts the grace period for removed entries: the store has begun a new era. */
    public void onNewEra(long nowNanos) {
        startRemovalGrace("new era", nowNanos);
    }

    /**
     * Records that the store's list of replicas is being read, by this node or by the one that it
     * relies on. Must be called before the records that were read are applied.
     */
    public void onStoreContact(long nowNanos) {
        onRecordsFromPeer(nowNanos);
        mContact.onContact(nowNanos);
    }

    /**
     * Records that a peer has sent records; they may be the first ones after an outage. Must be
     * called before they are applied.
     */
    public void onRecordsFromPeer(long nowNanos) {
        if (mContact.mayHaveExpired(nowNanos)) {
            startRemovalGrace("no contact to the store", nowNanos);
        }
    }

    private void startRemovalGrace(String reason, long nowNanos) {
        mRemovalGrace.start(nowNanos);
        mLog.change("removal-grace")
                .with("reason", reason)
                .with("ms", removalGrace(nowNanos).toMillis())
                .write();
    }

    /**
     * Returns for how much longer removed entries are expected to be written again; 0 if no grace
     * period is running.
     */
    public Duration removalGrace(long nowNanos) {
        return Duration.ofNanos(mRemovalGrace.remainingNanos(nowNanos));
    }

    /**
     * Returns whether this batch can be applied without missing a record before it. Each
     * configuration record is complete in itself, so batches of configurations always can.
     */
    public boolean canApply(RecordBatch batch) {
        return batch.topic() == StateTopic.CONFIGURATION
                || batch.whole()
                || !next(batch.topic()).isBefore(batch.from());
    }

    /** Applies a batch from any source; returns the records that changed the view. */
    public List<StateRecord> applyBatch(RecordBatch batch, long nowNanos) {
        List<StateRecord> updates = new ArrayList<>();
        boolean changed =
                switch (batch.topic()) {
                    case REPLICAS -> mReplicas.applyBatch(batch, nowNanos, updates);
                    case CONFIGURATION -> applyConfigurationBatch(batch, nowNanos, updates);
                    case NODES -> false;
                };
        if (changed) {
            publish();
        }
        return updates;
    }

    /** Applies some records of a list whose end has not been read yet. */
    public void applyFirstReplicas(List<StateRecord> records, long nowNanos) {
        var batch =
                RecordBatch.incremental(
                        StateTopic.REPLICAS, StorePosition.START, StorePosition.START, records);
        applyBatch(batch, nowNanos);
    }

    /** Returns whether the replicas that accept requests may have changed. */
    private boolean applyConfigurationBatch(
            RecordBatch batch, long nowNanos, List<StateRecord> updates) {
        boolean changed = false;
        for (var record : batch.records()) {
            Optional<FailureDomain> drained = mDecoder.drainedDomain(record.key());
            boolean isNew =
                    drained.isPresent()
                            ? applyDrained(drained.get(), record)
                            : applyConfiguration(record);
            if (isNew) {
                updates.add(record);
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

    /** Returns a batch with the newest known record of every key of a topic. */
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

    /**
     * Returns the changes that a node lacks which knows all replica records before this position.
     */
    public RecordBatch replicasSince(StorePosition from) {
        return mReplicas.since(from);
    }

    /**
     * Returns removals of the replicas that have departed although the restored store lists them
     * again. A node that started after they departed cannot know of them.
     *
     * @param known position up to which that node has reported to know the records
     */
    public RecordBatch departedButListed(StorePosition known) {
        return mReplicas.departedButListed(known);
    }

    /** Drops the retained entries whose grace period has ended. */
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

    /** Ends the drains of domains that a whole list no longer contains. */
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
            mUnusable.remove(record);
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
            reportUnusableMemory(configuration);
            return true;
        } catch (StateDecoder.UnusableRecordException | RuntimeException e) {
            mUnusable.add(record, e);
            return false;
        }
    }

    /** Reports pools whose memory is stated in a way that cannot be used, so that none is known. */
    private void reportUnusableMemory(FleetConfiguration configuration) {
        var pools =
                configuration.replicaMemory().entrySet().stream()
                        .filter(memory -> memory.getValue() == 0)
                        .map(Map.Entry::getKey)
                        .toList();
        if (!pools.isEmpty()) {
            mUnusableMemories += pools.size();
            mLog.change("replica-memory-unusable")
                    .with("version", configuration.version())
                    .with("pools", pools)
                    .write();
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
