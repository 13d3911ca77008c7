package org.fescueport.internal.direct.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.direct.log.EventLog;

/**
 * The newest record of each replica, and the position of the removal of each departed one.
 *
 * <p>Positions never move backwards, whichever source a record came from, also after the store was
 * restored from an older backup: a departed replica stays departed until it sends a newer
 * heartbeat. A replica whose entry expired around an outage, or is missing from the backup, is kept
 * until its heartbeat has had time to write the entry again. Not thread-safe; used only on the
 * event loop.
 */
final class ReplicaRecords {
    private static final long LONG_AGO_NANOS = java.time.Duration.ofHours(1).toNanos();

    /** Maximum number of departed replicas that are remembered; a day's worth in a large fleet. */
    private static final int MAX_DEPARTED = 1_000;

    /**
     * A replica's newest record.
     *
     * @param changed position of the first record with the same content as the newest one
     * @param coldUntilNanos monotonic time until which the replica can handle only few requests
     */
    private record KnownReplica(
            ReplicaEntry entry,
            StateRecord record,
            StorePosition changed,
            long joinedNanos,
            long coldUntilNanos,
            LastHeartbeat word) {
        StorePosition position() {
            return record.position();
        }

        /** Returns the same state with the position of a later record that changes nothing. */
        KnownReplica at(StorePosition position) {
            return new KnownReplica(
                    entry, record.at(position), changed, joinedNanos, coldUntilNanos, word);
        }
    }

    /**
     * A replica that has departed.
     *
     * @param last newest record of the replica, if one was known
     */
    private record DepartedReplica(StorePosition position, Optional<KnownReplica> last) {
        /** Returns whether the entry is in the store again because a restore brought it back. */
        boolean isInStoreAgain() {
            return last.filter(k -> k.word().era() < position.era()).isPresent();
        }

        boolean supersedes(ReplicaEntry entry, StateRecord record) {
            return last.filter(k -> k.word().supersedes(entry, record.position().era()))
                    .isPresent();
        }
    }

    private final StateDecoder mDecoder;
    private final EventLog mLog;
    private final RemovalGracePeriod mRemovalGrace;
    private final Map<NodeId, KnownReplica> mReplicas = new HashMap<>();
    private final Map<NodeId, Long> mRetainedUntilNanos = new HashMap<>();
    private final LinkedHashMap<NodeId, DepartedReplica> mDeparted = new LinkedHashMap<>();
    private final UnusableEntries mUnusable;
    private boolean mListed;

    /** Position from which on all removals are known. */
    private StorePosition mRemovalsFrom = StorePosition.START;

    private StorePosition mNext = StorePosition.START;

    ReplicaRecords(StateDecoder decoder, EventLog log, RemovalGracePeriod grace) {
        mDecoder = decoder;
        mLog = log;
        mRemovalGrace = grace;
        mUnusable = new UnusableEntries(log, "replica-unusable", "replica");
    }

    /** Returns how often an entry became unusable, or unusable for another reason. */
    long unusableCount() {
        return mUnusable.count();
    }

    /** Returns whether a whole list has been read. */
    boolean areListed() {
        return mListed;
    }

    /** Returns the position of the next record to read. */
    StorePosition next() {
        return mNext;
    }

    /** Returns the IDs of all replicas, including leaving ones. */
    Set<NodeId> ids() {
        return mReplicas.keySet();
    }

    /** Returns the entries of all replicas, including leaving ones. */
    Collection<ReplicaEntry> entries() {
        return mReplicas.values().stream().map(KnownReplica::entry).toList();
    }

    /**
     * Returns the entry of a replica, also if it is leaving, or empty if the replica is unknown.
     */
    Optional<ReplicaEntry> entry(NodeId id) {
        return Optional.ofNullable(mReplicas.get(id)).map(KnownReplica::entry);
    }

    /** Returns whether a replica joined before the given monotonic time. */
    boolean joinedBefore(NodeId id, long nanos) {
        KnownReplica known = mReplicas.get(id);
        return known != null && known.joinedNanos() - nanos < 0;
    }

    /** Returns whether a replica has not warmed up yet, according to its own record. */
    boolean isCold(NodeId id, long nowNanos) {
        KnownReplica known = mReplicas.get(id);
        return known != null && nowNanos - known.coldUntilNanos() < 0;
    }

    /**
     * Applies a batch of records.
     *
     * @param updates list to which the records that changed something are added
     * @return whether the replicas that accept requests may have changed
     */
    boolean applyBatch(RecordBatch batch, long nowNanos, List<StateRecord> updates) {
        if (batch.end().era() < mNext.era()) {
            return false;
        }
        boolean changed = false;
        for (var record : batch.records()) {
            changed |= applyGuarded(record, nowNanos, updates);
        }
        if (batch.whole() && !batch.end().isBefore(mNext)) {
            if (!mListed || batch.end().era() > mRemovalsFrom.era()) {
                mListed = true;
                mRemovalsFrom = batch.end();
            }
            changed |= removeUnlisted(batch, nowNanos, updates);
        }
        if (mNext.isBefore(batch.end())) {
            mNext = batch.end();
        }
        return changed;
    }

    /** Drops the retained entries whose grace period has ended; returns whether there were any. */
    boolean expire(long nowNanos) {
        boolean changed = false;
        for (var entry : List.copyOf(mRetainedUntilNanos.entrySet())) {
            if (nowNanos - entry.getValue() >= 0) {
                changed |= drop(entry.getKey(), "lapsed");
            }
        }
        return changed;
    }

    /** Returns a batch with the newest record of every replica that is in the store. */
    RecordBatch snapshot() {
        return new RecordBatch(
                StateTopic.REPLICAS, StorePosition.START, mNext, true, presentRecords());
    }

    /**
     * Excludes retained entries, which are no longer in the store; a receiver that knows them
     * learns of the removal from their absence.
     */
    private List<StateRecord> presentRecords() {
        return mReplicas.entrySet().stream()
                .filter(entry -> !mRetainedUntilNanos.containsKey(entry.getKey()))
                .map(entry -> entry.getValue().record())
                .toList();
    }

    /**
     * Returns the changes that a node lacks which knows all records before this position: the
     * records that changed something since, or a snapshot if the removals since then are not all
     * known.
     */
    RecordBatch since(StorePosition from) {
        if (from.equals(StorePosition.START) || from.isBefore(mRemovalsFrom)) {
            return snapshot();
        }
        return RecordBatch.incremental(StateTopic.REPLICAS, from, mNext, changesSince(from));
    }

    /**
     * Returns removals of the replicas that have departed although the restored store lists them
     * again. A node that started after they departed cannot know of them.
     *
     * @param known position up to which that node has reported to know the records
     */
    RecordBatch departedButListed(StorePosition known) {
        List<StateRecord> records = new ArrayList<>();
        mDeparted.forEach(
                (id, departed) -> {
                    if (departed.isInStoreAgain() && !mReplicas.containsKey(id)) {
                        records.add(StateRecord.removed(departed.position(), id.name()));
                    }
                });
        return RecordBatch.incremental(StateTopic.REPLICAS, known, known, records);
    }

    private List<StateRecord> changesSince(StorePosition from) {
        List<StateRecord> changes = new ArrayList<>();
        mReplicas.forEach(
                (id, known) -> {
                    boolean since = !known.changed().isBefore(from);
                    if (since && !mRetainedUntilNanos.containsKey(id)) {
                        changes.add(known.record());
                    }
                });
        mDeparted.forEach(
                (id, departed) -> {
                    boolean since = !departed.position().isBefore(from);
                    boolean gone =
                            !mReplicas.containsKey(id) || mRetainedUntilNanos.containsKey(id);
                    if (since && gone) {
                        departed.last().ifPresent(last -> changes.add(last.record()));
                        changes.add(StateRecord.removed(departed.position(), id.name()));
                    }
                });
        changes.sort(Comparator.comparing(StateRecord::position));
        return changes;
    }

    /** A fault while one record is applied must not keep the node from following the others. */
    private boolean applyGuarded(StateRecord record, long nowNanos, List<StateRecord> updates) {
        try {
            return apply(record, nowNanos, updates);
        } catch (RuntimeException e) {
            mLog.change("fault").with("where", "replica " + record.key()).with("cause", e).write();
            return true;
        }
    }

    /** Returns whether the replicas that accept requests may have changed. */
    private boolean apply(StateRecord record, long nowNanos, List<StateRecord> updates) {
        NodeId id = NodeId.of(record.key());
        KnownReplica known = mReplicas.get(id);
        DepartedReplica departed = mDeparted.get(id);
        if (isStale(record, known, departed)) {
            return false;
        }
        if (record.value().isEmpty()) {
            mUnusable.remove(record);
            recordDeparture(id, known, record.position(), updates);
            return known != null && remove(id, known, nowNanos);
        }
        Optional<ReplicaEntry> entry = decode(record);
        if (entry.isEmpty()) {
            recordDeparture(id, known, record.position(), updates);
            return known != null && drop(id, "unusable");
        }
        mUnusable.remove(record);
        if (known == null && departed != null && departed.supersedes(entry.get(), record)) {
            mDeparted.put(id, new DepartedReplica(record.position(), departed.last()));
            updates.add(StateRecord.removed(record.position(), record.key()));
            return false;
        }
        boolean lapsed = mRetainedUntilNanos.remove(id) != null;
        if (known != null && known.word().supersedes(entry.get(), record.position().era())) {
            mReplicas.put(id, known.at(record.position()));
            return false;
        }
        boolean same = known != null && known.entry().isEquivalentTo(entry.get()) && !lapsed;
        StorePosition changed = same ? known.changed() : record.position();
        long joined = joinTime(known, entry.get(), nowNanos);
        var word = LastHeartbeat.of(entry.get(), record.position().era());
        long cold = nowNanos + entry.get().warmUp().remaining().toNanos();
        mReplicas.put(id, new KnownReplica(entry.get(), record, changed, joined, cold, word));
        if (same) {
            return false;
        }
        updates.add(record);
        logReplica(entry.get(), record);
        return true;
    }

    /**
     * Returns whether the record is not newer than what is known. An entry at the same position as
     * a removal was brought back by a restore of the store, so it counts as older.
     */
    private static boolean isStale(
            StateRecord record, KnownReplica known, DepartedReplica departed) {
        if (known != null) {
            int order = known.position().compareTo(record.position());
            return record.value().isPresent() ? order >= 0 : order > 0;
        }
        return departed != null && !departed.position().isBefore(record.position());
    }

    /**
     * Records that an entry was removed. The removal is passed on together with the last record of
     * the replica, so that peers that have not received all its heartbeats also recognize older
     * records from a restored store.
     */
    private void recordDeparture(
            NodeId id, KnownReplica known, StorePosition position, List<StateRecord> updates) {
        Optional<KnownReplica> last =
                known != null
                        ? Optional.of(known)
                        : Optional.ofNullable(mDeparted.get(id)).flatMap(DepartedReplica::last);
        mDeparted.put(id, new DepartedReplica(position, last));
        evictOldestDeparted();
        if (known != null) {
            updates.add(known.record());
            updates.add(StateRecord.removed(position, id.name()));
        }
    }

    private void evictOldestDeparted() {
        if (mDeparted.size() > MAX_DEPARTED) {
            var eldest = mDeparted.pollFirstEntry();
            StorePosition behind = eldest.getValue().position().plus(1);
            mRemovalsFrom = mRemovalsFrom.isBefore(behind) ? behind : mRemovalsFrom;
        }
    }

    /** Replicas in the first list get a join time long ago, as it is not known when they joined. */
    private long joinTime(KnownReplica known, ReplicaEntry entry, long nowNanos) {
        if (known != null && known.entry().startedAtMillis() == entry.startedAtMillis()) {
            return known.joinedNanos();
        }
        return mListed ? nowNanos : nowNanos - LONG_AGO_NANOS;
    }

    private Optional<ReplicaEntry> decode(StateRecord record) {
        try {
            return Optional.of(mDecoder.replica(record.key(), record.value().orElseThrow()));
        } catch (StateDecoder.UnusableRecordException | RuntimeException e) {
            mUnusable.add(record, e);
            return Optional.empty();
        }
    }

    private void logReplica(ReplicaEntry entry, StateRecord record) {
        mLog.change(entry.leaving() ? "replica-leaving" : "replica-ready")
                .with("replica", entry.id())
                .with("pool", entry.pool())
                .with("address", entry.address())
                .with("position", record.position())
                .with("cold_ms", entry.warmUp().remaining().toMillis())
                .with(
                        "cold_unreadable",
                        entry.warmUp().unreadable().map(String::valueOf).orElse(""))
                .write();
    }

    private boolean remove(NodeId id, KnownReplica known, long nowNanos) {
        long grace = mRemovalGrace.remainingNanos(nowNanos);
        if (grace > 0 && !known.entry().leaving()) {
            mRetainedUntilNanos.putIfAbsent(id, nowNanos + grace);
            return false;
        }
        return drop(id, "removed");
    }

    private boolean drop(NodeId id, String reason) {
        mRetainedUntilNanos.remove(id);
        if (mReplicas.remove(id) == null) {
            return false;
        }
        mLog.change("replica-gone").with("replica", id).with("reason", reason).write();
        return true;
    }

    private boolean removeUnlisted(RecordBatch batch, long nowNanos, List<StateRecord> updates) {
        Set<String> present = new HashSet<>();
        batch.records().forEach(record -> present.add(record.key()));
        boolean changed = false;
        for (var id : List.copyOf(mReplicas.keySet())) {
            KnownReplica known = mReplicas.get(id);
            if (!present.contains(id.name()) && known.position().isBefore(batch.end())) {
                // The position of the removal is unknown, but it is before the end of the batch.
                recordDeparture(id, known, batch.end().plus(-1), updates);
                changed |= remove(id, known, nowNanos);
            }
        }
        return changed;
    }
}
