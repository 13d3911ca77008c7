package org.fescueport.internal.log.claim;

import io.micrometer.core.instrument.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.fescueport.port.LogService;
import org.fescueport.port.PlatformException;
import org.fescueport.port.PlatformException.Effect;

/** The log as deciders use it: calls that never hang, with answers on the decider's thread. */
final class ClaimLog {
    private static final int PAGE_RECORDS = 500;

    private final LogService mLog;
    private final Clock mClock;
    private final ScheduledExecutorService mExecutor;
    private final long mTimeoutMillis;

    ClaimLog(
            LogService log,
            Clock clock,
            ScheduledExecutorService executor,
            ClaimSettings settings) {
        mLog = log;
        mClock = clock;
        mExecutor = executor;
        mTimeoutMillis = settings.callTimeoutMillis();
    }

    long nowMillis() {
        return mClock.wallTime();
    }

    void later(long delayMillis, Runnable task) {
        mExecutor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    void append(String stream, List<byte[]> records, BiConsumer<Long, PlatformException> consumer) {
        timed(mLog.append(stream, records), consumer);
    }

    void read(
            String stream,
            long fromOffset,
            BiConsumer<LogService.Page, PlatformException> consumer) {
        timed(mLog.read(stream, fromOffset, PAGE_RECORDS), consumer);
    }

    private <T> void timed(CompletableFuture<T> call, BiConsumer<T, PlatformException> consumer) {
        CompletableFuture<T> result = new CompletableFuture<>();
        ScheduledFuture<?> timeout =
                mExecutor.schedule(
                        () -> result.completeExceptionally(timedOut()),
                        mTimeoutMillis,
                        TimeUnit.MILLISECONDS);
        call.whenComplete(
                (value, error) -> {
                    timeout.cancel(false);
                    if (error == null) {
                        result.complete(value);
                    } else {
                        result.completeExceptionally(error);
                    }
                });
        result.whenCompleteAsync(
                (value, error) -> consumer.accept(value, translate(error)), mExecutor);
    }

    private PlatformException timedOut() {
        return PlatformException.cannotBeKnown(
                "the log gave no answer within %d ms".formatted(mTimeoutMillis), null);
    }

    private static PlatformException translate(Throwable error) {
        return switch (error) {
            case null -> null;
            case PlatformException e -> e;
            case CompletionException e when e.getCause() instanceof PlatformException cause ->
                    cause;
            default -> PlatformException.cannotBeKnown("a call to the log failed", error);
        };
    }

    static boolean surelyDidNotHappen(PlatformException failure) {
        return failure != null && failure.effect() == Effect.NONE;
    }
}
