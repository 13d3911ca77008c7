package org.fescueport.internal.log.claim;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueport.internal.decision.claim.ClaimRecord;
import org.fescueport.internal.decision.claim.ClaimVerdict;
import org.fescueport.port.LogService;

/**
 * Decides claims by the log: appends them in batches and reads them back.
 *
 * <p>Any process may decide any claim, and several may decide the same one at once: the verdict is
 * what the log's order says. A process reads a partition when the first claim for it comes.
 *
 * <pre>{@code
 * ClaimDecider decider = ClaimDecider.create(log, clock, executor, settings, registry);
 * decider.decide(claim).thenAccept(verdict -> ...);
 * byte[] reply = decider.handle(payload).join();   // a call of another process
 * }</pre>
 */
public final class ClaimDecider implements ClaimPort {
    private final ClaimLog mLog;
    private final ClaimSettings mSettings;
    private final ScheduledExecutorService mExecutor;
    private final Map<Integer, ClaimPartition> mPartitions = new LinkedHashMap<>(16, 0.75f, true);
    private final MeterRegistry mRegistry;

    private ClaimDecider(
            LogService log,
            Clock clock,
            ScheduledExecutorService executor,
            ClaimSettings settings,
            MeterRegistry registry) {
        mLog = new ClaimLog(log, clock, executor, settings);
        mSettings = settings;
        mExecutor = executor;
        mRegistry = registry;
    }

    /**
     * Returns a decider.
     *
     * @param executor one thread, on which all state is kept
     */
    public static ClaimDecider create(
            LogService log,
            Clock clock,
            ScheduledExecutorService executor,
            ClaimSettings settings,
            MeterRegistry registry) {
        return new ClaimDecider(log, clock, executor, settings, registry);
    }

    @Override
    public CompletableFuture<ClaimVerdict> decide(ClaimRecord.Claim claim) {
        CompletableFuture<ClaimVerdict> verdict = new CompletableFuture<>();
        mExecutor.execute(() -> partition(claim).decide(claim, verdict));
        return verdict;
    }

    @Override
    public CompletableFuture<Boolean> note(ClaimRecord record) {
        CompletableFuture<Boolean> noted = new CompletableFuture<>();
        mExecutor.execute(() -> partition(record).note(record, noted));
        return noted;
    }

    /** Answers a call of another process: the payload is a record, the result its reply. */
    public CompletableFuture<byte[]> handle(byte[] payload) {
        return ClaimCodec.decode(payload)
                .fold(
                        CompletableFuture::failedFuture,
                        record ->
                                record instanceof ClaimRecord.Claim claim
                                        ? decide(claim).thenApply(ClaimCodec::encodeVerdict)
                                        : note(record).thenApply(ClaimCodec::encodeNoted));
    }

    private ClaimPartition partition(ClaimRecord record) {
        int number = mSettings.partitions().of(record.key());
        dropIdle(number);
        return mPartitions.computeIfAbsent(
                number, n -> ClaimPartition.create(n, mLog, mSettings, mRegistry));
    }

    private void dropIdle(int wanted) {
        int keys = mPartitions.values().stream().mapToInt(ClaimPartition::keys).sum();
        Iterator<Map.Entry<Integer, ClaimPartition>> oldest = mPartitions.entrySet().iterator();
        while (keys > mSettings.keysInAll() && oldest.hasNext()) {
            Map.Entry<Integer, ClaimPartition> entry = oldest.next();
            if (entry.getKey() != wanted && entry.getValue().isIdle()) {
                keys -= entry.getValue().keys();
                oldest.remove();
            }
        }
    }
}
