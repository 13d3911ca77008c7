package org.fescueport.internal.log.config;

import com.google.protobuf.InvalidProtocolBufferException;
import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.Verdict;
import org.fescueport.internal.decision.config.VerdictCounts;
import org.fescueport.internal.log.StreamTail;
import org.fescueport.internal.wire.generated.ConfigRecords;
import org.fescueport.port.LogService;
import org.fescueport.port.LogService.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one node's configuration in force: reads the log, and peers while the log is down.
 *
 * <p>Versions only go forward. Safe to use from any thread.
 *
 * <pre>{@code
 * var follower = ConfigFollower.create(log, peers, executor, clock, registry, settings, seed);
 * follower.addListener(declarations -> router.apply(declarations));
 * follower.start();
 * }</pre>
 */
public final class ConfigFollower implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigFollower.class);
    private static final int PAGE_RECORDS = 500;
    private static final int ASK_SPACING_MILLIS = 100;

    /** How a node knows that it is current. */
    public enum Currency {
        /** The log was read to its end a short time ago. */
        BY_LOG,
        /** The log is down; peers in several failure domains know of nothing newer. */
        BY_PEERS,
        /** It can't know. */
        UNKNOWN
    }

    private final LogService mLog;
    private final PeerRounds mPeers;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final FollowerSettings mSettings;
    private final Random mRandom;
    private final MeterRegistry mRegistry;
    private final List<Consumer<Declarations>> mListeners = new CopyOnWriteArrayList<>();
    private final Object mLock = new Object();
    private final RecentRecords mRecent = new RecentRecords();
    private final ConfigTail mTail = new ConfigTail(this::onRecord);
    private volatile Declarations mDeclarations = Declarations.none();
    private volatile long mCaughtUpAtMillis;
    private volatile boolean mEverCaughtUp;
    private volatile boolean mSettledByPeers;
    private volatile boolean mClosed;
    private volatile long mSnapshotAtMillis = Long.MIN_VALUE;
    private long mRead;
    private volatile boolean mLogDown;
    private volatile long mAskedAheadAtMillis = Long.MIN_VALUE / 2;

    private ConfigFollower(
            LogService log,
            ConfigPeers peers,
            ScheduledExecutorService executor,
            Clock clock,
            MeterRegistry registry,
            FollowerSettings settings,
            long seed) {
        mLog = log;
        mExecutor = executor;
        mClock = clock;
        mSettings = settings;
        mRegistry = registry;
        mRandom = new Random(seed);
        mPeers = new PeerRounds(peers, settings.peersPerRound(), settings.currentMillis(), mRandom);
        registry.gauge("fescue.config.version", this, ConfigFollower::version);
        registry.gauge("fescue.config.age.millis", this, ConfigFollower::ageMillis);
    }

    /** Returns a follower that is not yet started; {@code seed} spreads the polls of many nodes. */
    public static ConfigFollower create(
            LogService log,
            ConfigPeers peers,
            ScheduledExecutorService executor,
            Clock clock,
            MeterRegistry registry,
            FollowerSettings settings,
            long seed) {
        return new ConfigFollower(log, peers, executor, clock, registry, settings, seed);
    }

    /** Starts reading. */
    public void start() {
        schedule(0);
    }

    /** Stops reading; what is in force stays. */
    @Override
    public void close() {
        mClosed = true;
    }

    /** Returns what is in force on this node. */
    public Declarations declarations() {
        return mDeclarations;
    }

    /** Returns the version in force on this node, for each Hello and for {@code /v1/status}. */
    public long version() {
        return mDeclarations.version();
    }

    /** Calls {@code listener} with each newer configuration, in order. */
    public void addListener(Consumer<Declarations> listener) {
        mListeners.add(listener);
    }

    /** Returns the time since this node last knew that it was current, by the log or by peers. */
    public long ageMillis() {
        var heard = Math.max(mCaughtUpAtMillis, mPeers.heardAtMillis(nowMillis()));
        return mEverCaughtUp || mPeers.heard(nowMillis()) ? nowMillis() - heard : Long.MAX_VALUE;
    }

    /** Returns how this node knows that it is current. */
    public Currency currency() {
        if (metNewerFormat()) {
            return Currency.UNKNOWN;
        }
        if (mEverCaughtUp && nowMillis() - mCaughtUpAtMillis <= mSettings.currentMillis()) {
            return Currency.BY_LOG;
        }
        return mPeers.heard(nowMillis()) ? Currency.BY_PEERS : Currency.UNKNOWN;
    }

    /** Returns whether this node knows that it is current; for {@code /readyz}. */
    public boolean isCurrent() {
        return currency() != Currency.UNKNOWN;
    }

    /** Returns the counts of the fold, alike on every node at the same position. */
    public VerdictCounts counts() {
        synchronized (mLock) {
            return mTail.fold().counts();
        }
    }

    /** Returns the offset of the next record to fold. */
    public long position() {
        synchronized (mLock) {
            return mTail.fold().position();
        }
    }

    /** Returns the folded stream, to be appended as a snapshot. */
    ConfigRecord.Snapshot snapshot() {
        synchronized (mLock) {
            return mTail.fold().snapshot();
        }
    }

    /** Returns when this node last folded a snapshot record; the least value for never. */
    long snapshotAtMillis() {
        return mSnapshotAtMillis;
    }

    /** Returns what a peer at {@code offset} lacks; hand the bytes to the peer as they are. */
    public byte[] recordsFrom(long offset) {
        synchronized (mLock) {
            var settled = mEverCaughtUp || mSettledByPeers;
            return mRecent.answer(offset, mTail.fold()).setSettled(settled).build().toByteArray();
        }
    }

    /** Hears a peer's version, from each Hello; asks the peer if it is ahead. */
    public void onPeerVersion(NodeId node, FailureDomain domain, long version) {
        var spaced = nowMillis() - mAskedAheadAtMillis >= ASK_SPACING_MILLIS;
        if (version > version() && spaced) {
            mAskedAheadAtMillis = nowMillis();
            ask(new ConfigPeers.Peer(node, domain));
        }
    }

    /** Takes what a peer gave for {@link #recordsFrom}; returns whether this node moved on. */
    public boolean offerFromPeer(byte[] records) {
        try {
            return offer(ConfigRecords.parseFrom(records));
        } catch (InvalidProtocolBufferException e) {
            count("fescue.config.peer.refused");
            return false;
        }
    }

    private boolean offer(ConfigRecords records) {
        synchronized (mLock) {
            var before = mTail.fold().position();
            if (!records.getSnapshot().isEmpty()
                    && ConfigCodec.decode(records.getSnapshot().toByteArray())
                            instanceof ConfigRecord.Snapshot snapshot
                    && mTail.adopt(snapshot)) {
                mRecent.restartAt(snapshot.position());
            }
            var position = mTail.fold().position();
            if (records.getFrom() > position || !PeerRounds.isContiguous(records)) {
                count("fescue.config.peer.refused");
                return false;
            }
            for (var entry : records.getEntriesList()) {
                mTail.apply(new Entry(entry.getOffset(), 0, entry.getData().toByteArray()));
            }
            mTail.fold().skipTo(records.getNext());
            publish();
            return mTail.fold().position() > before;
        }
    }

    private boolean metNewerFormat() {
        synchronized (mLock) {
            return mTail.fold().hasSeenNewerFormat();
        }
    }

    private void schedule(long delayMillis) {
        if (!mClosed) {
            var jitter = delayMillis == 0 ? 0 : mRandom.nextLong(delayMillis / 5 + 1);
            mExecutor.schedule(this::poll, delayMillis - jitter, TimeUnit.MILLISECONDS);
        }
    }

    private void poll() {
        var sentAtMillis = nowMillis();
        long from;
        long read;
        synchronized (mLock) {
            from = mTail.nextRead();
            read = ++mRead;
        }
        mLog.read(ConfigTail.STREAM, from, PAGE_RECORDS)
                .whenComplete((page, failure) -> onRead(read, sentAtMillis, page, failure));
        mExecutor.schedule(
                () -> onRead(read, sentAtMillis, null, new IllegalStateException("no answer")),
                mSettings.readTimeoutMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void onRead(long read, long sentAtMillis, LogService.Page page, Throwable failure) {
        StreamTail.Step step;
        synchronized (mLock) {
            if (read != mRead) {
                return;
            }
            mRead++;
            step = page == null ? null : take(page);
        }
        if (step == null) {
            onOutage(failure);
            return;
        }
        setLogDown(false, "");
        switch (step) {
            case MORE -> schedule(0);
            case CAUGHT_UP -> {
                mCaughtUpAtMillis = sentAtMillis;
                mEverCaughtUp = true;
                schedule(mSettings.pollMillis());
            }
            default -> {
                count("fescue.config.log." + step.name().toLowerCase(java.util.Locale.ROOT));
                onOutage(new IllegalStateException("the log gives " + step));
            }
        }
    }

    private StreamTail.Step take(LogService.Page page) {
        var fold = mTail.fold();
        var step = mTail.take(page);
        if (mTail.fold() != fold) {
            mRecent.restartAt(mTail.fold().position());
        }
        publish();
        return step;
    }

    private void onRecord(Entry entry, ConfigRecord record, Verdict verdict) {
        count("fescue.config.records." + verdict.getClass().getSimpleName());
        if (record instanceof ConfigRecord.Snapshot) {
            // Changes nothing in a fold, so peers need not get it.
            mSnapshotAtMillis = nowMillis();
        } else {
            mRecent.add(entry);
        }
    }

    private void publish() {
        var next = mTail.fold().declarations();
        var former = mDeclarations.version();
        if (next.version() == former) {
            return;
        }
        Invariants.check(next.version() > former, "version %d after %d", next.version(), former);
        mDeclarations = next;
        LOG.info("configuration {} is in force, after {}", next.version(), former);
        mListeners.forEach(listener -> listener.accept(next));
    }

    private void onOutage(Throwable failure) {
        setLogDown(true, String.valueOf(failure));
        count("fescue.config.reads.failed");
        mPeers.choose().forEach(this::ask);
        schedule(mSettings.outageMillis());
    }

    private void ask(ConfigPeers.Peer peer) {
        if (mClosed) {
            return;
        }
        count("fescue.config.peer.asked");
        var askedAtMillis = nowMillis();
        mPeers.peers()
                .recordsFrom(peer, position())
                .thenAccept(
                        records -> {
                            offerFromPeer(records);
                            giveWhatItLacks(peer, records);
                            mPeers.onHeard(peer.domain(), askedAtMillis, records, position());
                            mSettledByPeers |= mPeers.heard(nowMillis());
                        });
    }

    private void giveWhatItLacks(ConfigPeers.Peer peer, byte[] answer) {
        try {
            long theirs = ConfigRecords.parseFrom(answer).getPosition();
            if (theirs < position()) {
                count("fescue.config.peer.offered");
                mPeers.peers().offer(peer, recordsFrom(theirs));
            }
        } catch (InvalidProtocolBufferException e) {
            count("fescue.config.peer.refused");
        }
    }

    private void setLogDown(boolean down, String why) {
        if (mLogDown != down) {
            mLogDown = down;
            LOG.warn(down ? "the log can't be read: {}" : "the log can be read again{}", why);
        }
    }

    private void count(String name) {
        mRegistry.counter(name).increment();
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mClock.monotonicTime());
    }
}
