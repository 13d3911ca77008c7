package org.fescueport.testing;

import io.micrometer.core.instrument.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.port.LogService;
import org.fescueport.port.PlatformException;

/**
 * The log in memory, with faults on command. Offsets start at 0. Without a delay each call
 * completes at once; with one it completes on the executor.
 *
 * <pre>{@code
 * var log = FakeLogService.create(clock, executor, seed);
 * var cutOff = log.view();   // shares the records, has faults of its own
 * cutOff.setDown(true);
 * }</pre>
 */
public final class FakeLogService implements LogService {
    /** What views share. */
    private static final class Store {
        final Map<String, List<Entry>> mStreams = new HashMap<>();
        final Map<String, Long> mNext = new HashMap<>();
        long mAppends;
    }

    private final Store mStore;
    private final Clock mClock;
    private final ScheduledExecutorService mExecutor;
    private final Random mRandom;
    private boolean mDown;
    private long mDelayMillis;
    private double mLostAnswers;
    private double mLostAppends;
    private long mReads;

    private FakeLogService(
            Store store, Clock clock, ScheduledExecutorService executor, Random random) {
        mStore = store;
        mClock = clock;
        mExecutor = executor;
        mRandom = random;
    }

    /** Returns an empty log. */
    public static FakeLogService create(Clock clock, ScheduledExecutorService executor, long seed) {
        return new FakeLogService(new Store(), clock, executor, new Random(seed));
    }

    /** Returns another client of the same log, with faults of its own. */
    public FakeLogService view() {
        return new FakeLogService(mStore, mClock, mExecutor, mRandom);
    }

    /** Refuses every call, truthfully without effect. */
    public void setDown(boolean down) {
        mDown = down;
    }

    /** Delays each answer. */
    public void setDelayMillis(long delayMillis) {
        mDelayMillis = delayMillis;
    }

    /** Share of appends that take effect although their answer is lost. */
    public void setLostAnswers(double share) {
        mLostAnswers = share;
    }

    /** Share of appends that are lost together with their answer. */
    public void setLostAppends(double share) {
        mLostAppends = share;
    }

    /** Forgets the records below this offset, as retention does. */
    public void dropBefore(String stream, long offset) {
        entries(stream).removeIf(entry -> entry.offset() < offset);
    }

    /** Forgets the records that are older than this. */
    public void dropOlderThan(String stream, long ageMillis) {
        var oldest = mClock.wallTime() - ageMillis;
        entries(stream).removeIf(entry -> entry.appendedAtMillis() < oldest);
    }

    /** Returns the records that are kept. */
    public List<Entry> kept(String stream) {
        return List.copyOf(entries(stream));
    }

    /** Returns the appends that took effect in all views. */
    public long appends() {
        return mStore.mAppends;
    }

    /** Returns the reads of this view. */
    public long reads() {
        return mReads;
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        if (mDown) {
            return answer(null, PlatformException.didNotHappen("the log is down", null));
        }
        if (mRandom.nextDouble() < mLostAppends) {
            return answer(null, PlatformException.cannotBeKnown("no answer", null));
        }
        var first = mStore.mNext.getOrDefault(stream, 1L);
        var next = first;
        for (var record : records) {
            entries(stream).add(new Entry(next++, mClock.wallTime(), record.clone()));
        }
        mStore.mNext.put(stream, next);
        mStore.mAppends++;
        if (mRandom.nextDouble() < mLostAnswers) {
            return answer(null, PlatformException.cannotBeKnown("the answer was lost", null));
        }
        return answer(first, null);
    }

    @Override
    public CompletableFuture<Page> read(String stream, long fromOffset, int limit) {
        mReads++;
        if (mDown) {
            return answer(null, PlatformException.didNotHappen("the log is down", null));
        }
        var kept = entries(stream);
        long next = mStore.mNext.getOrDefault(stream, 1L);
        var first = kept.isEmpty() ? next : kept.getFirst().offset();
        var skip = (int) Math.min(kept.size(), Math.max(0, fromOffset - first));
        var end = Math.min(kept.size(), skip + limit);
        return answer(new Page(List.copyOf(kept.subList(skip, end)), first, next), null);
    }

    private List<Entry> entries(String stream) {
        return mStore.mStreams.computeIfAbsent(stream, name -> new ArrayList<>());
    }

    private <T> CompletableFuture<T> answer(T value, PlatformException failure) {
        var future = new CompletableFuture<T>();
        Runnable complete =
                () -> {
                    if (failure != null) {
                        future.completeExceptionally(failure);
                    } else {
                        future.complete(value);
                    }
                };
        if (mDelayMillis == 0) {
            complete.run();
        } else {
            mExecutor.schedule(complete, mDelayMillis, TimeUnit.MILLISECONDS);
        }
        return future;
    }
}
