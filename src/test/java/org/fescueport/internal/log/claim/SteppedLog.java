package org.fescueport.internal.log.claim;

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

/** A log in memory whose appends take effect late, twice or without an answer. */
public final class SteppedLog implements LogService {
    private final Clock mClock;
    private final ScheduledExecutorService mExecutor;
    private final Random mRandom;
    private final Map<String, List<Entry>> mStreams = new HashMap<>();
    private final Map<String, Long> mFirst = new HashMap<>();
    boolean mDown;
    int mMaxDelayMillis = 5;
    double mFaults;
    long mAppends;

    private SteppedLog(Clock clock, ScheduledExecutorService executor, Random random) {
        mClock = clock;
        mExecutor = executor;
        mRandom = random;
    }

    /** Returns an empty log; its effects and answers come on the executor. */
    public static SteppedLog create(Clock clock, ScheduledExecutorService executor, Random random) {
        return new SteppedLog(clock, executor, random);
    }

    /** Refuses every call, truthfully without effect. */
    public void setDown(boolean down) {
        mDown = down;
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        if (mDown) {
            answer.completeExceptionally(PlatformException.didNotHappen("down", null));
            return answer;
        }
        mAppends++;
        int fault = mRandom.nextDouble() < mFaults ? 1 + mRandom.nextInt(4) : 0;
        if (fault == 1) {
            later(3_000, () -> effect(stream, records));
            later(0, () -> lose(answer));
        } else if (fault == 2) {
            later(0, () -> lose(answer));
        } else {
            later(
                    0,
                    () -> {
                        long first = effect(stream, records);
                        if (fault == 3) {
                            effect(stream, records);
                        }
                        later(0, () -> answer(fault, first, answer));
                    });
        }
        return answer;
    }

    @Override
    public CompletableFuture<Page> read(String stream, long fromOffset, int limit) {
        CompletableFuture<Page> answer = new CompletableFuture<>();
        if (mDown) {
            answer.completeExceptionally(PlatformException.didNotHappen("down", null));
            return answer;
        }
        later(0, () -> later(page(stream, fromOffset, limit), answer));
        return answer;
    }

    void dropOldest(String stream, int count) {
        mFirst.merge(stream, (long) Math.min(count, entries(stream).size()), Math::max);
    }

    List<Entry> entries(String stream) {
        return mStreams.computeIfAbsent(stream, name -> new ArrayList<>());
    }

    private Page page(String stream, long fromOffset, int limit) {
        List<Entry> all = entries(stream);
        long first = mFirst.getOrDefault(stream, 0L);
        int from = (int) Math.min(all.size(), Math.max(first, fromOffset - FIRST_OFFSET));
        int to = Math.min(all.size(), from + limit);
        return new Page(
                List.copyOf(all.subList(from, to)),
                first + FIRST_OFFSET,
                all.size() + FIRST_OFFSET);
    }

    private long effect(String stream, List<byte[]> records) {
        List<Entry> all = entries(stream);
        long first = all.size() + FIRST_OFFSET;
        for (byte[] record : records) {
            all.add(new Entry(all.size() + FIRST_OFFSET, mClock.wallTime(), record));
        }
        return first;
    }

    private static void lose(CompletableFuture<Long> answer) {
        answer.completeExceptionally(PlatformException.cannotBeKnown("no answer", null));
    }

    private static void answer(int fault, long first, CompletableFuture<Long> answer) {
        if (fault == 4) {
            lose(answer);
        } else {
            answer.complete(first);
        }
    }

    private <T> void later(T value, CompletableFuture<T> answer) {
        later(0, () -> answer.complete(value));
    }

    private void later(int extraMillis, Runnable task) {
        int delay = mRandom.nextInt(mMaxDelayMillis + 1) + mRandom.nextInt(extraMillis + 1);
        mExecutor.schedule(task, delay, TimeUnit.MILLISECONDS);
    }
}
