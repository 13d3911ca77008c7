package org.fescueport.internal.log.lease;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueport.internal.decision.lease.LeaseFold;
import org.fescueport.internal.decision.lease.LeaseHolder;
import org.fescueport.internal.decision.lease.LeaseRecord;
import org.fescueport.internal.decision.lease.LeaseState;
import org.fescueport.internal.decision.lease.LeaseTiming;
import org.fescueport.internal.decision.lease.LeaseTracker;
import org.fescueport.internal.log.StreamTail;
import org.fescueport.port.LogService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims and renews the leases for which this node stands as a candidate. Only candidates read the
 * stream, so let a few nodes stand for each lease. Safe to use from any thread.
 *
 * <pre>{@code
 * var keeper = LeaseKeeper.create(log, self, executor, clock, registry, settings);
 * keeper.stand("config-snapshots");
 * keeper.start();
 * keeper.token("config-snapshots").ifPresent(token -> writer.writeIfDue());
 * }</pre>
 */
public final class LeaseKeeper implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseKeeper.class);
    private static final int PAGE_RECORDS = 500;
    private static final int SNAPSHOTS_PER_RETENTION = 4;

    /**
     * How a keeper works.
     *
     * @param pollMillis time between two looks at the log
     * @param readTimeoutMillis a read without an answer for this long is given up
     * @param retentionMillis how long the log keeps records
     */
    public record Settings(
            LeaseTiming timing, int pollMillis, int readTimeoutMillis, long retentionMillis) {
        /** Returns the usual settings for a log with this retention. */
        public static Settings of(long retentionMillis) {
            return new Settings(LeaseTiming.DEFAULT, 1_000, 2_000, retentionMillis);
        }
    }

    private final LogService mLog;
    private final LeaseHolder mSelf;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final MeterRegistry mRegistry;
    private final Settings mSettings;
    private final Supplier<UUID> mNonces;
    private final Object mLock = new Object();
    private final Map<String, LeaseTracker> mWatches = new TreeMap<>();
    private final LeaseTail mTail = new LeaseTail(new Events());
    private long mRead;
    private boolean mSnapshotSeen;
    private long mSnapshotAtNanos;
    private volatile boolean mClosed;

    private LeaseKeeper(
            LogService log,
            LeaseHolder self,
            ScheduledExecutorService executor,
            Clock clock,
            MeterRegistry registry,
            Settings settings,
            Supplier<UUID> nonces) {
        mLog = log;
        mSelf = self;
        mExecutor = executor;
        mClock = clock;
        mRegistry = registry;
        mSettings = settings;
        mNonces = nonces;
    }

    /** Returns a keeper that is not yet started. */
    public static LeaseKeeper create(
            LogService log,
            LeaseHolder self,
            ScheduledExecutorService executor,
            Clock clock,
            MeterRegistry registry,
            Settings settings) {
        return new LeaseKeeper(log, self, executor, clock, registry, settings, UUID::randomUUID);
    }

    /** Starts reading and claiming. */
    public void start() {
        mExecutor.execute(this::poll);
    }

    /** Makes this node a candidate for a lease. */
    public void stand(String lease) {
        synchronized (mLock) {
            if (!mWatches.containsKey(lease)) {
                var watch = LeaseTracker.create(mSelf, mSettings.timing());
                watch.onSnapshot(mTail.fold().lease(lease), mClock.monotonicTime());
                mWatches.put(lease, watch);
            }
        }
    }

    /** Ends this node's candidacy; gives the lease back if it holds it. */
    public void withdraw(String lease) {
        Optional<LeaseRecord.Claim> release = Optional.empty();
        synchronized (mLock) {
            var watch = mWatches.remove(lease);
            if (watch != null) {
                release = watch.release(lease, mNonces.get(), mClock.monotonicTime());
            }
        }
        release.ifPresent(claim -> append(List.of(LeaseCodec.encode(claim))));
    }

    /** Returns the fencing token if this node holds the lease at this instant. */
    public Optional<Long> token(String lease) {
        synchronized (mLock) {
            var watch = mWatches.get(lease);
            return watch == null ? Optional.empty() : watch.tokenAt(mClock.monotonicTime());
        }
    }

    /** Gives back what is held and stops. */
    @Override
    public void close() {
        mClosed = true;
        List<String> leases;
        synchronized (mLock) {
            leases = List.copyOf(mWatches.keySet());
        }
        leases.forEach(this::withdraw);
    }

    private void poll() {
        if (mClosed) {
            return;
        }
        long read;
        long from;
        synchronized (mLock) {
            read = ++mRead;
            from = mTail.nextRead();
        }
        mLog.read(LeaseTail.STREAM, from, PAGE_RECORDS)
                .whenComplete((page, failure) -> onRead(read, page));
        mExecutor.schedule(
                () -> onRead(read, null), mSettings.readTimeoutMillis(), TimeUnit.MILLISECONDS);
    }

    private void onRead(long read, LogService.Page page) {
        List<byte[]> block = List.of();
        var delayMillis = mSettings.pollMillis();
        synchronized (mLock) {
            if (read != mRead) {
                return;
            }
            mRead++;
            var step = page == null ? StreamTail.Step.GAP : mTail.take(page);
            switch (step) {
                case MORE -> delayMillis = 0;
                case CAUGHT_UP -> block = due();
                default -> mRegistry.counter("fescue.leases.reads.failed").increment();
            }
        }
        if (!block.isEmpty()) {
            append(block);
        }
        mExecutor.schedule(this::poll, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** The claims that are due, as one block; they are sent right after. */
    private List<byte[]> due() {
        var now = mClock.monotonicTime();
        var block = new ArrayList<byte[]>();
        var holds = false;
        for (var lease : mWatches.entrySet()) {
            var watch = lease.getValue();
            holds |= watch.tokenAt(now).isPresent();
            if (watch.isClaimDue(now)) {
                var claim = watch.claim(lease.getKey(), mNonces.get());
                watch.beforeAppend(claim.nonce(), now);
                block.add(LeaseCodec.encode(claim));
            }
        }
        if (holds && isSnapshotDue(now)) {
            block.add(LeaseCodec.encode(mTail.fold().snapshot()));
        }
        return block;
    }

    private boolean isSnapshotDue(long nowNanos) {
        var every =
                TimeUnit.MILLISECONDS.toNanos(
                        mSettings.retentionMillis() / SNAPSHOTS_PER_RETENTION);
        return !mSnapshotSeen || nowNanos - mSnapshotAtNanos >= every;
    }

    private void append(List<byte[]> block) {
        mRegistry.counter("fescue.leases.appends").increment();
        mLog.append(LeaseTail.STREAM, block)
                .whenComplete(
                        (offset, failure) -> {
                            // What became of it is read back; a lost answer changes nothing.
                            if (failure != null) {
                                mRegistry.counter("fescue.leases.appends.failed").increment();
                            }
                        });
    }

    private final class Events implements LeaseTail.Listener {
        @Override
        public void onAccepted(LeaseRecord.Claim claim, LeaseState state) {
            var watch = mWatches.get(claim.lease());
            if (watch == null) {
                return;
            }
            var held = watch.tokenAt(mClock.monotonicTime()).isPresent();
            watch.onAccepted(claim.nonce(), state, mClock.monotonicTime());
            if (held != watch.tokenAt(mClock.monotonicTime()).isPresent()) {
                LOG.info(
                        "lease {}: {} with token {}", claim.lease(), state.holder(), state.token());
            }
        }

        @Override
        public void onSnapshotSeen() {
            mSnapshotSeen = true;
            mSnapshotAtNanos = mClock.monotonicTime();
        }

        @Override
        public void onAdopted(LeaseFold fold) {
            var now = mClock.monotonicTime();
            mWatches.forEach((lease, watch) -> watch.onSnapshot(fold.lease(lease), now));
        }
    }
}
