package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.log.EventLog;

/**
 * What this node believes of the configuration and of the replicas.
 *
 * <p>Versions and offsets only go forward, whichever way a record came. A replica whose entry
 * lapsed around an outage of the store is kept until its heartbeat has had time to come back. Used
 * by the event loop alone.
 */
public final class FleetView {
    /** Time after the store's return within which lapsed entries of live replicas are back. */
    private static final Duration USUAL_RETURN = Duration.ofMillis(2_300);

    /** A sweep for lapsed entries, and what is then still on its way to a replica. */
    private static final Duration LEAVE_MARGIN = Duration.ofMillis(400);

    private static final Duration LONG_AGO = Duration.ofHours(1);

    /** Told when the believed replicas have changed. */
    @FunctionalInterface
    public interface ReplicaListener {
        /** Called after the change. */
        void onReplicasChanged();
    }

    /**
     * A replica's newest record.
     *
     * @param changedOffset offset of the first record that said the same
     */
    private record Known(
            ReplicaEntry entry, StateRecord record, long changedOffset, long joinedNanos) {
        long offset() {
            return record.offset();
        }
    }

    private final StateDecoder mDecoder;
    private final EventLog mLog;
    private final Duration mLapseGrace;
    private final Map<NodeId, Known> mReplicas = new HashMap<>();
    private final Map<NodeId, Long> mLapsedUntil = new HashMap<>();
    private final Map<NodeId, Long> mRemovedAt = new HashMap<>();
    private Map<PoolId, ReplicaSet> mPools = Map.of();
    private Map<PoolId, ReplicaSet> mCacheHolders = Map.of();
    private Optional<FleetConfiguration> mConfiguration = Optional.empty();
    private Optional<StateRecord> mConfigurationRecord = Optional.empty();
    private boolean mReplicasKnown;

    /** Offset from which on all removals of replicas are known. */
    private long mRemovalsFrom;

    private long mNextConfiguration;
    private long mNextReplica;
    private Optional<Long> mLapseGraceEndNanos = Optional.empty();
    private ReplicaListener mListener = () -> {};

    private FleetView(StateDecoder decoder, EventLog log, Duration lapseGrace) {
        mDecoder = decoder;
        mLog = log;
        mLapseGrace = lapseGrace;
    }

    /**
     * Returns a view that believes nothing yet.
     *
     * @param leaveBound longest time a replica may be used after its removal has been read; an
     *     entry that lapsed and one that was taken away look alike, so it bounds both
     */
    public static FleetView create(StateDecoder decoder, EventLog log, Duration leaveBound) {
        Duration longest = leaveBound.minus(LEAVE_MARGIN);
        Duration grace = longest.compareTo(USUAL_RETURN) < 0 ? longest : USUAL_RETURN;
        return new FleetView(decoder, log, grace);
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
        return mConfiguration.isPresent() && mReplicasKnown;
    }

    /** Returns the replicas of a pool that take new work. */
    public ReplicaSet pool(PoolId pool) {
        ReplicaSet set = mPools.get(pool);
        return set == null ? ReplicaSet.of(pool, List.of()) : set;
    }

    /** Returns the replicas of a pool that may hold prompts, also those that are leaving. */
    public ReplicaSet cacheHolders(PoolId pool) {
        ReplicaSet set = mCacheHolders.get(pool);
        return set == null ? ReplicaSet.of(pool, List.of()) : set;
    }

    /** Returns whether a replica has been there since before this time. */
    public boolean isOlderThan(NodeId id, long nanos) {
        Known known = mReplicas.get(id);
        return known != null && known.joinedNanos() - nanos < 0;
    }

    /** Returns the pools that have a replica which takes new work. */
    public Set<PoolId> pools() {
        return mPools.keySet();
    }

    /** Returns all replicas, also those that are leaving. */
    public Set<NodeId> replicaIds() {
        return mReplicas.keySet();
    }

    /** Returns the entry of a replica, also of one that is leaving. */
    public Optional<ReplicaEntry> replica(NodeId id) {
        return Optional.ofNullable(mReplicas.get(id)).map(Known::entry);
    }

    /** Returns the offset of the next record to read of a topic. */
    public long nextOffset(StateTopic topic) {
        return topic == StateTopic.CONFIGURATION ? mNextConfiguration : mNextReplica;
    }

    /** Notes that the store has just answered again after it had not. */
    public void onStoreRegained(long nowNanos) {
        mLapseGraceEndNanos = Optional.of(nowNanos + mLapseGrace.toNanos());
    }

    /** Returns how long removed entries may still come back; 0 when the store is steady. */
    public Duration lapseGrace(long nowNanos) {
        long left = mLapseGraceEndNanos.map(end -> end - nowNanos).orElse(0L);
        return Duration.ofNanos(Math.max(0, left));
    }

    /** Notes that a peer counts on removed entries to come back within this time. */
    public void onLapseGrace(Duration left, long nowNanos) {
        if (left.compareTo(lapseGrace(nowNanos)) > 0) {
            mLapseGraceEndNanos = Optional.of(nowNanos + left.toNanos());
        }
    }

    /** Returns whether this batch can be taken, so that no record before it is missed. */
    public boolean follows(RecordBatch batch) {
        return batch.whole() || batch.from() <= nextOffset(batch.topic());
    }

    /** Takes records in; returns those that changed something, from whichever source they came. */
    public List<StateRecord> take(RecordBatch batch, long nowNanos) {
        List<StateRecord> news = new ArrayList<>();
        boolean changed = false;
        for (var record : batch.records()) {
            changed |= apply(batch.topic(), record, nowNanos, news);
        }
        boolean replicas = batch.topic() == StateTopic.REPLICAS;
        if (replicas && batch.whole() && batch.end() >= mNextReplica) {
            if (!mReplicasKnown) {
                mReplicasKnown = true;
                mRemovalsFrom = batch.end();
            }
            changed |= removeMissing(batch, nowNanos, news);
        }
        advance(batch.topic(), batch.end());
        if (changed) {
            publish();
        }
        return news;
    }

    /** Returns the newest record of every key that is known. */
    public RecordBatch snapshot(StateTopic topic) {
        List<StateRecord> records =
                topic == StateTopic.CONFIGURATION
                        ? mConfigurationRecord.stream().toList()
                        : mReplicas.values().stream().map(Known::record).toList();
        return new RecordBatch(topic, 0, nextOffset(topic), true, records);
    }

    /**
     * Returns what somebody lacks who knows all before this offset: the few records that have
     * changed something since, or a snapshot where those are not known.
     */
    public RecordBatch changesSince(StateTopic topic, long from) {
        boolean known = topic != StateTopic.REPLICAS || from >= mRemovalsFrom;
        if (from == 0 || !known) {
            return snapshot(topic);
        }
        List<StateRecord> records =
                topic == StateTopic.CONFIGURATION
                        ? mConfigurationRecord.stream().toList()
                        : replicaChanges(from);
        return RecordBatch.news(
                topic,
                from,
                nextOffset(topic),
                records.stream().filter(record -> record.offset() >= from).toList());
    }

    private List<StateRecord> replicaChanges(long from) {
        List<StateRecord> changes = new ArrayList<>();
        mReplicas.forEach(
                (id, known) -> {
                    if (known.changedOffset() >= from && !mLapsedUntil.containsKey(id)) {
                        changes.add(known.record());
                    }
                });
        mRemovedAt.forEach(
                (id, offset) -> {
                    if (!mReplicas.containsKey(id) || mLapsedUntil.containsKey(id)) {
                        changes.add(StateRecord.removed(offset, id.name()));
                    }
                });
        changes.sort(Comparator.comparingLong(StateRecord::offset));
        return changes;
    }

    /** Drops the lapsed entries whose time is over. */
    public void expire(long nowNanos) {
        boolean changed = false;
        for (var entry : List.copyOf(mLapsedUntil.entrySet())) {
            if (nowNanos - entry.getValue() >= 0) {
                mLapsedUntil.remove(entry.getKey());
                changed |= forget(entry.getKey(), "lapsed");
            }
        }
        if (changed) {
            publish();
        }
    }

    private boolean apply(
            StateTopic topic, StateRecord record, long nowNanos, List<StateRecord> news) {
        return switch (topic) {
            case CONFIGURATION -> {
                if (applyConfiguration(record)) {
                    news.add(record);
                }
                yield false;
            }
            case REPLICAS -> applyReplica(record, nowNanos, news);
            case NODES -> false;
        };
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
                    .with("offset", record.offset())
                    .write();
            return true;
        } catch (StateDecoder.UnusableRecordException e) {
            mLog.change("configuration-unusable")
                    .with("offset", record.offset())
                    .with("reason", e.getMessage())
                    .write();
            return false;
        }
    }

    /** Returns whether the replicas that take work may have changed. */
    private boolean applyReplica(StateRecord record, long nowNanos, List<StateRecord> news) {
        NodeId id = NodeId.of(record.key());
        Known known = mReplicas.get(id);
        long newest = known == null ? mRemovedAt.getOrDefault(id, -1L) : known.offset();
        if (record.offset() <= newest) {
            return false;
        }
        if (record.value().isEmpty()) {
            mRemovedAt.put(id, record.offset());
            if (known != null) {
                news.add(record);
            }
            return known != null && remove(id, known, nowNanos);
        }
        Optional<ReplicaEntry> entry = decode(record);
        if (entry.isEmpty()) {
            mRemovedAt.put(id, record.offset());
            if (known != null) {
                news.add(StateRecord.removed(record.offset(), record.key()));
            }
            return known != null && forget(id, "unusable");
        }
        boolean lapsed = mLapsedUntil.remove(id) != null;
        boolean same = known != null && known.entry().equals(entry.get()) && !lapsed;
        long changed = same ? known.changedOffset() : record.offset();
        long joined = joined(known, entry.get(), nowNanos);
        mReplicas.put(id, new Known(entry.get(), record, changed, joined));
        if (same) {
            return false;
        }
        news.add(record);
        logReplica(entry.get(), record);
        return true;
    }

    /** Replicas of the first list have been there for as long as anybody can tell. */
    private long joined(Known known, ReplicaEntry entry, long nowNanos) {
        if (known != null && known.entry().startedAtMillis() == entry.startedAtMillis()) {
            return known.joinedNanos();
        }
        return mReplicasKnown ? nowNanos : nowNanos - LONG_AGO.toNanos();
    }

    private Optional<ReplicaEntry> decode(StateRecord record) {
        try {
            return Optional.of(mDecoder.replica(record.key(), record.value().orElseThrow()));
        } catch (StateDecoder.UnusableRecordException e) {
            mLog.change("replica-unusable")
                    .with("replica", record.key())
                    .with("reason", e.getMessage())
                    .write();
            return Optional.empty();
        }
    }

    private void logReplica(ReplicaEntry entry, StateRecord record) {
        mLog.change(entry.leaving() ? "replica-leaving" : "replica-ready")
                .with("replica", entry.id())
                .with("pool", entry.pool())
                .with("address", entry.address())
                .with("offset", record.offset())
                .write();
    }

    private boolean remove(NodeId id, Known known, long nowNanos) {
        boolean mayBeLapse = mLapseGraceEndNanos.filter(end -> nowNanos - end < 0).isPresent();
        if (mayBeLapse && !known.entry().leaving()) {
            mLapsedUntil.putIfAbsent(id, mLapseGraceEndNanos.get());
            return false;
        }
        return forget(id, "removed");
    }

    private boolean forget(NodeId id, String reason) {
        mLapsedUntil.remove(id);
        if (mReplicas.remove(id) == null) {
            return false;
        }
        mLog.change("replica-gone").with("replica", id).with("reason", reason).write();
        return true;
    }

    private boolean removeMissing(RecordBatch batch, long nowNanos, List<StateRecord> news) {
        Set<String> present = new HashSet<>();
        batch.records().forEach(record -> present.add(record.key()));
        boolean changed = false;
        for (var id : List.copyOf(mReplicas.keySet())) {
            Known known = mReplicas.get(id);
            if (!present.contains(id.name()) && known.offset() < batch.end()) {
                // The removal stood somewhere before the end of the batch.
                long offset = batch.end() - 1;
                mRemovedAt.put(id, offset);
                news.add(StateRecord.removed(offset, id.name()));
                changed |= remove(id, known, nowNanos);
            }
        }
        return changed;
    }

    private void advance(StateTopic topic, long end) {
        if (topic == StateTopic.CONFIGURATION) {
            mNextConfiguration = Math.max(mNextConfiguration, end);
        } else if (topic == StateTopic.REPLICAS) {
            mNextReplica = Math.max(mNextReplica, end);
        }
    }

    private void publish() {
        mPools = byPool(false);
        mCacheHolders = byPool(true);
        mListener.onReplicasChanged();
    }

    private Map<PoolId, ReplicaSet> byPool(boolean withLeaving) {
        Map<PoolId, List<Replica>> replicas = new HashMap<>();
        for (var known : mReplicas.values()) {
            ReplicaEntry entry = known.entry();
            if (withLeaving || !entry.leaving()) {
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
