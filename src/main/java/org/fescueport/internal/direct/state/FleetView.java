package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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
 * back from an older copy: a replica that is known to have left stays gone until it speaks anew. A
 * replica whose entry lapsed around an outage, or is missing from the copy, is kept until its
 * heartbeat has had time to come back. Used by the event loop alone.
 */
public final class FleetView {
    /** Time after the store's return within which lapsed entries of live replicas are back. */
    private static final Duration USUAL_RETURN = Duration.ofMillis(2_300);

    /** A sweep for lapsed entries, and what is then still on its way to a replica. */
    private static final Duration LEAVE_MARGIN = Duration.ofMillis(400);

    private static final Duration LONG_AGO = Duration.ofHours(1);

    /** Replicas that are remembered after they have gone; a day's worth of a large fleet. */
    private static final int MOST_DEPARTED = 1_000;

    /** Told when the believed replicas have changed. */
    @FunctionalInterface
    public interface ReplicaListener {
        /** Called after the change. */
        void onReplicasChanged();
    }

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
    private final Duration mLapseGrace;
    private final Map<NodeId, Known> mReplicas = new HashMap<>();
    private final Map<NodeId, Long> mLapsedUntil = new HashMap<>();
    private final LinkedHashMap<NodeId, Departed> mDeparted = new LinkedHashMap<>();
    private Map<PoolId, ReplicaSet> mPools = Map.of();
    private Map<PoolId, ReplicaSet> mCacheHolders = Map.of();
    private Optional<FleetConfiguration> mConfiguration = Optional.empty();
    private Optional<StateRecord> mConfigurationRecord = Optional.empty();
    private final DrainedDomains mDrained = new DrainedDomains();
    private boolean mReplicasKnown;

    /** Place from which on all removals of replicas are known. */
    private StorePosition mRemovalsFrom = StorePosition.START;

    private StorePosition mNextConfiguration = StorePosition.START;
    private StorePosition mNextReplica = StorePosition.START;
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

    /** Returns whether a replica has not warmed up, by its own word. */
    public boolean isCold(NodeId id, long nowNanos) {
        Known known = mReplicas.get(id);
        return known != null && nowNanos - known.coldUntilNanos() < 0;
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
        return topic == StateTopic.CONFIGURATION ? mNextConfiguration : mNextReplica;
    }

    /** Notes that the store has just answered again after it had not, or in a new era. */
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

    /**
     * Returns whether this batch can be taken, so that no record before it is missed. A record of
     * the configuration is complete in itself.
     */
    public boolean follows(RecordBatch batch) {
        return batch.topic() == StateTopic.CONFIGURATION
                || batch.whole()
                || !next(batch.topic()).isBefore(batch.from());
    }

    /** Takes records in; returns those that changed something, from whichever source they came. */
    public List<StateRecord> take(RecordBatch batch, long nowNanos) {
        List<StateRecord> news = new ArrayList<>();
        boolean replicas = batch.topic() == StateTopic.REPLICAS;
        if (replicas && batch.end().era() < mNextReplica.era()) {
            return news;
        }
        boolean changed = false;
        for (var record : batch.records()) {
            changed |= apply(batch.topic(), record, nowNanos, news);
        }
        if (replicas && batch.whole() && !batch.end().isBefore(mNextReplica)) {
            if (!mReplicasKnown || batch.end().era() > mRemovalsFrom.era()) {
                mReplicasKnown = true;
                mRemovalsFrom = batch.end();
            }
            changed |= removeMissing(batch, nowNanos, news);
        }
        if (!replicas && batch.whole() && !batch.end().isBefore(mNextConfiguration)) {
            changed |= restoreMissing(batch, nowNanos);
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
                topic == StateTopic.CONFIGURATION ? configurationRecords() : presentRecords();
        return new RecordBatch(topic, StorePosition.START, next(topic), true, records);
    }

    private List<StateRecord> configurationRecords() {
        List<StateRecord> records = new ArrayList<>(mDrained.records());
        mConfigurationRecord.ifPresent(records::add);
        return records;
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
    public RecordBatch replicasSince(StorePosition from) {
        if (from.equals(StorePosition.START) || from.isBefore(mRemovalsFrom)) {
            return snapshot(StateTopic.REPLICAS);
        }
        return RecordBatch.news(StateTopic.REPLICAS, from, mNextReplica, replicaChanges(from));
    }

    /**
     * Returns the replicas that are gone although the store lists them since it came back, for
     * somebody who may have begun after they went.
     *
     * @param known what that node has told that it knows
     */
    public RecordBatch departedButListed(StorePosition known) {
        List<StateRecord> records = new ArrayList<>();
        mDeparted.forEach(
                (id, departed) -> {
                    if (departed.isListed() && !mReplicas.containsKey(id)) {
                        records.add(StateRecord.removed(departed.position(), id.name()));
                    }
                });
        return RecordBatch.news(StateTopic.REPLICAS, known, known, records);
    }

    private List<StateRecord> replicaChanges(StorePosition from) {
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

    /** Drops the lapsed entries whose time is over. */
    public void expire(long nowNanos) {
        boolean changed = false;
        for (var entry : List.copyOf(mLapsedUntil.entrySet())) {
            if (nowNanos - entry.getValue() >= 0) {
                mLapsedUntil.remove(entry.getKey());
                changed |= forget(entry.getKey(), "lapsed");
            }
        }
        if (mDrained.expire(nowNanos)) {
            logDrained();
            changed = true;
        }
        if (changed) {
            publish();
        }
    }

    private boolean apply(
            StateTopic topic, StateRecord record, long nowNanos, List<StateRecord> news) {
        return switch (topic) {
            case CONFIGURATION -> {
                Optional<FailureDomain> drained = mDecoder.drainedDomain(record.key());
                boolean known =
                        drained.isPresent()
                                ? !applyDrained(drained.get(), record)
                                : !applyConfiguration(record);
                if (!known) {
                    news.add(record);
                }
                yield !known && drained.isPresent();
            }
            case REPLICAS -> applyReplica(record, nowNanos, news);
            case NODES -> false;
        };
    }

    private boolean applyDrained(FailureDomain domain, StateRecord record) {
        if (!mDrained.take(domain, record)) {
            return false;
        }
        logDrained();
        return true;
    }

    private void logDrained() {
        mLog.change("drained-domains").with("domains", mDrained).write();
    }

    /** Ends the draining of domains that a whole list does not name. */
    private boolean restoreMissing(RecordBatch batch, long nowNanos) {
        Set<FailureDomain> listed = new HashSet<>();
        for (var record : batch.records()) {
            mDecoder.drainedDomain(record.key()).ifPresent(listed::add);
        }
        long until = nowNanos + USUAL_RETURN.toNanos();
        boolean changed = mDrained.retain(listed, batch.end(), until);
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

    /** Returns whether the replicas that take work may have changed. */
    private boolean applyReplica(StateRecord record, long nowNanos, List<StateRecord> news) {
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
                .with("position", record.position())
                .with("cold_ms", entry.cold().left().toMillis())
                .with("cold_unreadable", entry.cold().unreadable().map(String::valueOf).orElse(""))
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
            if (!present.contains(id.name()) && known.position().isBefore(batch.end())) {
                // The removal stood somewhere before the end of the batch.
                depart(id, known, batch.end().plus(-1), news);
                changed |= remove(id, known, nowNanos);
            }
        }
        return changed;
    }

    private void advance(StateTopic topic, StorePosition end) {
        if (!next(topic).isBefore(end)) {
            return;
        }
        if (topic == StateTopic.CONFIGURATION) {
            mNextConfiguration = end;
        } else if (topic == StateTopic.REPLICAS) {
            mNextReplica = end;
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
            boolean takesWork = !entry.leaving() && !mDrained.contains(entry.domain());
            if (withLeaving || takesWork) {
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
