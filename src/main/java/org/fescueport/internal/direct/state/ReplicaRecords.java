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
 * The newest word of each replica, and of those that are gone the place of their removal.
 *
 * <p>Places only go forward, whichever way a record came, also when the store has come back from an
 * older copy: a replica that is known to have left stays gone until it speaks anew. One whose entry
 * lapsed around an outage, or is missing from the copy, is kept until its heartbeat has had time to
 * come back. Used by the event loop alone.
 */
final class ReplicaRecords {
    private static final long LONG_AGO_NANOS = java.time.Duration.ofHours(1).toNanos();

    /** Replicas that are remembered after they have gone; a day's worth of a large fleet. */
    private static final int MOST_DEPARTED = 1_000;

    /**
     * A replica's newest record.
     *
     * @param changed place of the first record that said the same
     * @param coldUntilNanos time until which it bears few requests only
     */
    private record Known(
            ReplicaEntry entry,
            StateRecord record,
            StorePosition changed,
            long joinedNanos,
            long coldUntilNanos,
            ReplicaWord word) {
        StorePosition position() {
            return record.position();
        }

        /** Returns the same belief, which a later record has not changed. */
        Known at(StorePosition position) {
            return new Known(
                    entry, record.at(position), changed, joinedNanos, coldUntilNanos, word);
        }
    }

    /**
     * A replica that is gone.
     *
     * @param last the newest record of it, where one was known
     */
    private record Departed(StorePosition position, Optional<Known> last) {
        /** Returns whether its entry stands in the store again, as a copy brought it back. */
        boolean isListed() {
            return last.filter(k -> k.word().era() < position.era()).isPresent();
        }

        boolean covers(ReplicaEntry entry, StateRecord record) {
            return last.filter(k -> k.word().covers(entry, record.position().era())).isPresent();
        }
    }

    private final StateDecoder mDecoder;
    private final EventLog mLog;
    private final LapseGrace mGrace;
    private final Map<NodeId, Known> mReplicas = new HashMap<>();
    private final Map<NodeId, Long> mLapsedUntil = new HashMap<>();
    private final LinkedHashMap<NodeId, Departed> mDeparted = new LinkedHashMap<>();
    private boolean mListed;

    /** Place from which on all removals are known. */
    private StorePosition mRemovalsFrom = StorePosition.START;

    private StorePosition mNext = StorePosition.START;

    ReplicaRecords(StateDecoder decoder, EventLog log, LapseGrace grace) {
        mDecoder = decoder;
        mLog = log;
        mGrace = grace;
    }

    /** Returns whether a whole list has been read. */
    boolean areListed() {
        return mListed;
    }

    /** Returns the place of the next record to read. */
    StorePosition next() {
        return mNext;
    }

    /** Returns all replicas, also those that are leaving. */
    Set<NodeId> ids() {
        return mReplicas.keySet();
    }

    /** Returns the words of all replicas, also of those that are leaving. */
    Collection<ReplicaEntry> entries() {
        return mReplicas.values().stream().map(Known::entry).toList();
    }

    /** Returns the word of a replica, also of one that is leaving. */
    Optional<ReplicaEntry> entry(NodeId id) {
        return Optional.ofNullable(mReplicas.get(id)).map(Known::entry);
    }

    /** Returns whether a replica has been there since before this time. */
    boolean isOlderThan(NodeId id, long nanos) {
        Known known = mReplicas.get(id);
        return known != null && known.joinedNanos() - nanos < 0;
    }

    /** Returns whether a replica has not warmed up, by its own word. */
    boolean isCold(NodeId id, long nowNanos) {
        Known known = mReplicas.get(id);
        return known != null && nowNanos - known.coldUntilNanos() < 0;
    }

    /**
     * Takes records in.
     *
     * @param news to which those are added that changed something
     * @return whether the replicas that take work may have changed
     */
    boolean take(RecordBatch batch, long nowNanos, List<StateRecord> news) {
        if (batch.end().era() < mNext.era()) {
            return false;
        }
        boolean changed = false;
        for (var record : batch.records()) {
            changed |= apply(record, nowNanos, news);
        }
        if (batch.whole() && !batch.end().isBefore(mNext)) {
            if (!mListed || batch.end().era() > mRemovalsFrom.era()) {
                mListed = true;
                mRemovalsFrom = batch.end();
            }
            changed |= removeMissing(batch, nowNanos, news);
        }
        if (mNext.isBefore(batch.end())) {
            mNext = batch.end();
        }
        return changed;
    }

    /** Drops the lapsed entries whose time is over; returns whether there were any. */
    boolean expire(long nowNanos) {
        boolean changed = false;
        for (var entry : List.copyOf(mLapsedUntil.entrySet())) {
            if (nowNanos - entry.getValue() >= 0) {
                changed |= forget(entry.getKey(), "lapsed");
            }
        }
        return changed;
    }

    /** Returns the newest record of every replica that is there. */
    RecordBatch snapshot() {
        return new RecordBatch(
                StateTopic.REPLICAS, StorePosition.START, mNext, true, presentRecords());
    }

    /** Entries that have lapsed stand in no store; who knows them is told so by their absence. */
    private List<StateRecord> presentRecords() {
        return mReplicas.entrySet().stream()
                .filter(entry -> !mLapsedUntil.containsKey(entry.getKey()))
                .map(entry -> entry.getValue().record())
                .toList();
    }

    /**
     * Returns what somebody lacks who knows all before this place: the few records that have
     * changed something since, or a snapshot where those are not known.
     */
    RecordBatch since(StorePosition from) {
        if (from.equals(StorePosition.START) || from.isBefore(mRemovalsFrom)) {
            return snapshot();
        }
        return RecordBatch.news(StateTopic.REPLICAS, from, mNext, changesSince(from));
    }

    /**
     * Returns the replicas that are gone although the store lists them since it came back, for
     * somebody who may have begun after they went.
     *
     * @param known what that node has told that it knows
     */
    RecordBatch departedButListed(StorePosition known) {
        List<StateRecord> records = new ArrayList<>();
        mDeparted.forEach(
                (id, departed) -> {
                    if (departed.isListed() && !mReplicas.containsKey(id)) {
                        records.add(StateRecord.removed(departed.position(), id.name()));
                    }
                });
        return RecordBatch.news(StateTopic.REPLICAS, known, known, records);
    }

    private List<StateRecord> changesSince(StorePosition from) {
        List<StateRecord> changes = new ArrayList<>();
        mReplicas.forEach(
                (id, known) -> {
                    boolean since = !known.changed().isBefore(from);
                    if (since && !mLapsedUntil.containsKey(id)) {
                        changes.add(known.record());
                    }
                });
        mDeparted.forEach(
                (id, departed) -> {
                    boolean since = !departed.position().isBefore(from);
                    boolean gone = !mReplicas.containsKey(id) || mLapsedUntil.containsKey(id);
                    if (since && gone) {
                        departed.last().ifPresent(last -> changes.add(last.record()));
                        changes.add(StateRecord.removed(departed.position(), id.name()));
                    }
                });
        changes.sort(Comparator.comparing(StateRecord::position));
        return changes;
    }

    /** Returns whether the replicas that take work may have changed. */
    private boolean apply(StateRecord record, long nowNanos, List<StateRecord> news) {
        NodeId id = NodeId.of(record.key());
        Known known = mReplicas.get(id);
        Departed departed = mDeparted.get(id);
        if (isHeard(record, known, departed)) {
            return false;
        }
        if (record.value().isEmpty()) {
            depart(id, known, record.position(), news);
            return known != null && remove(id, known, nowNanos);
        }
        Optional<ReplicaEntry> entry = decode(record);
        if (entry.isEmpty()) {
            depart(id, known, record.position(), news);
            return known != null && forget(id, "unusable");
        }
        if (known == null && departed != null && departed.covers(entry.get(), record)) {
            mDeparted.put(id, new Departed(record.position(), departed.last()));
            news.add(StateRecord.removed(record.position(), record.key()));
            return false;
        }
        boolean lapsed = mLapsedUntil.remove(id) != null;
        if (known != null && known.word().covers(entry.get(), record.position().era())) {
            mReplicas.put(id, known.at(record.position()));
            return false;
        }
        boolean same = known != null && known.entry().saysTheSameAs(entry.get()) && !lapsed;
        StorePosition changed = same ? known.changed() : record.position();
        long joined = joined(known, entry.get(), nowNanos);
        var word = ReplicaWord.of(entry.get(), record.position().era());
        long cold = nowNanos + entry.get().cold().left().toNanos();
        mReplicas.put(id, new Known(entry.get(), record, changed, joined, cold, word));
        if (same) {
            return false;
        }
        news.add(record);
        logReplica(entry.get(), record);
        return true;
    }

    /** An entry at the place of a removal is one that a copy of the store has brought back. */
    private static boolean isHeard(StateRecord record, Known known, Departed departed) {
        if (known != null) {
            int order = known.position().compareTo(record.position());
            return record.value().isPresent() ? order >= 0 : order > 0;
        }
        return departed != null && !departed.position().isBefore(record.position());
    }

    /**
     * Notes that an entry has gone away. Peers that have not heard all words of the replica are
     * told the last one with it, so that they too know what comes out of an older copy.
     */
    private void depart(NodeId id, Known known, StorePosition position, List<StateRecord> news) {
        Optional<Known> last =
                known != null
                        ? Optional.of(known)
                        : Optional.ofNullable(mDeparted.get(id)).flatMap(Departed::last);
        mDeparted.put(id, new Departed(position, last));
        forgetOldestDeparted();
        if (known != null) {
            news.add(known.record());
            news.add(StateRecord.removed(position, id.name()));
        }
    }

    private void forgetOldestDeparted() {
        if (mDeparted.size() > MOST_DEPARTED) {
            var eldest = mDeparted.pollFirstEntry();
            StorePosition behind = eldest.getValue().position().plus(1);
            mRemovalsFrom = mRemovalsFrom.isBefore(behind) ? behind : mRemovalsFrom;
        }
    }

    /** Replicas of the first list have been there for as long as anybody can tell. */
    private long joined(Known known, ReplicaEntry entry, long nowNanos) {
        if (known != null && known.entry().startedAtMillis() == entry.startedAtMillis()) {
            return known.joinedNanos();
        }
        return mListed ? nowNanos : nowNanos - LONG_AGO_NANOS;
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
                .with("position", record.position())
                .with("cold_ms", entry.cold().left().toMillis())
                .with("cold_unreadable", entry.cold().unreadable().map(String::valueOf).orElse(""))
                .write();
    }

    private boolean remove(NodeId id, Known known, long nowNanos) {
        long grace = mGrace.leftNanos(nowNanos);
        if (grace > 0 && !known.entry().leaving()) {
            mLapsedUntil.putIfAbsent(id, nowNanos + grace);
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
            if (!present.contains(id.name()) && known.position().isBefore(batch.end())) {
                // The removal stood somewhere before the end of the batch.
                depart(id, known, batch.end().plus(-1), news);
                changed |= remove(id, known, nowNanos);
            }
        }
        return changed;
    }
}
