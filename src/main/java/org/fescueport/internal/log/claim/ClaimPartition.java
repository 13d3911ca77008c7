package org.fescueport.internal.log.claim;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.claim.ClaimFold;
import org.fescueport.internal.decision.claim.ClaimRecord;
import org.fescueport.internal.decision.claim.ClaimRecord.Claim;
import org.fescueport.internal.decision.claim.ClaimRefusal;
import org.fescueport.internal.decision.claim.ClaimVerdict;
import org.fescueport.port.LogService;
import org.fescueport.port.PlatformException;

/**
 * One claim stream at one deciding process; used by the decider's thread only.
 *
 * <p>One call to the log runs at a time. A batch is appended, then the stream is read to its end;
 * only what was read gives a verdict, never the acknowledgement of the append.
 */
final class ClaimPartition {
    private static final int MAX_BATCH_RECORDS = 200;
    private static final int MAX_STALE_READS = 20;
    private static final long STALE_READ_PAUSE_MILLIS = 20;
    private static final long NOT_KNOWN = -1;

    /** A record that waits, with the future of whoever sent it. */
    private record Waiting(
            ClaimRecord record,
            long sinceMillis,
            CompletableFuture<ClaimVerdict> verdict,
            CompletableFuture<Boolean> noted) {
        void settle(ClaimFold fold, long retryAfterMillis) {
            if (record instanceof Claim claim) {
                ClaimVerdict found = fold.verdict(claim);
                ClaimVerdict missing = refusal(ClaimRefusal.LOG_UNAVAILABLE, retryAfterMillis);
                verdict.complete(found == null ? missing : found);
            }
        }

        void fail(ClaimRefusal reason, long retryAfterMillis) {
            verdict.complete(refusal(reason, retryAfterMillis));
            noted.complete(false);
        }
    }

    private final String mStream;
    private final ClaimLog mLog;
    private final ClaimSettings mSettings;
    private final ClaimFold mFold;
    private final ArrayDeque<Waiting> mWaiting = new ArrayDeque<>();
    private final Counter mAppends;
    private final Counter mUndecodable;
    private long mNextOffset = NOT_KNOWN;
    private boolean mBusy;
    private boolean mPaused;
    private long mBusySinceMillis;
    private long mNextAppendMillis;
    private long mDownUntilMillis;

    private ClaimPartition(
            String stream, ClaimLog log, ClaimSettings settings, MeterRegistry registry) {
        mStream = stream;
        mLog = log;
        mSettings = settings;
        mFold = ClaimFold.create(settings.keysPerPartition(), settings.window().skewMillis());
        mAppends = registry.counter("fescue.claim.appends");
        mUndecodable = registry.counter("fescue.claim.undecodable");
    }

    static ClaimPartition create(
            int number, ClaimLog log, ClaimSettings settings, MeterRegistry registry) {
        return new ClaimPartition(settings.partitions().stream(number), log, settings, registry);
    }

    void decide(Claim claim, CompletableFuture<ClaimVerdict> verdict) {
        long now = mLog.nowMillis();
        mFold.forgetBefore(now - mSettings.window().windowMillis());
        ClaimVerdict early = earlyVerdict(claim, now);
        if (early != null) {
            verdict.complete(early);
            return;
        }
        mWaiting.add(new Waiting(claim, now, verdict, new CompletableFuture<>()));
        pump();
    }

    void note(ClaimRecord record, CompletableFuture<Boolean> noted) {
        long now = mLog.nowMillis();
        if (isDown(now) || mWaiting.size() >= mSettings.waitingPerPartition()) {
            noted.complete(false);
            return;
        }
        mWaiting.add(new Waiting(record, now, new CompletableFuture<>(), noted));
        pump();
    }

    /** Returns how many keys are remembered. */
    int keys() {
        return mFold.size();
    }

    /** Returns whether nothing is under way, so that the partition may be dropped. */
    boolean isIdle() {
        return !mBusy && !mPaused && mWaiting.isEmpty();
    }

    private ClaimVerdict earlyVerdict(Claim claim, long now) {
        if (now > claim.validUntilMillis()) {
            return refusal(ClaimRefusal.DEADLINE_PASSED, 0);
        }
        ClaimVerdict done = mFold.done(claim);
        if (done != null) {
            return done;
        }
        if (mSettings.window().check(claim.key(), now).isPresent()) {
            return refusal(ClaimRefusal.TOO_OLD, 0);
        }
        if (isDown(now)) {
            return refusal(ClaimRefusal.LOG_UNAVAILABLE, mDownUntilMillis - now);
        }
        if (mBusy && now - mBusySinceMillis > mSettings.callTimeoutMillis()) {
            return refusal(ClaimRefusal.LOG_SLOW, mSettings.backoffMillis());
        }
        boolean full = mFold.isFull() || mWaiting.size() >= mSettings.waitingPerPartition();
        return full ? refusal(ClaimRefusal.OVERLOADED, mSettings.backoffMillis()) : null;
    }

    private boolean isDown(long now) {
        return now < mDownUntilMillis;
    }

    private void pump() {
        if (mBusy || mPaused || mWaiting.isEmpty()) {
            return;
        }
        long now = mLog.nowMillis();
        if (now < mNextAppendMillis) {
            pause(mNextAppendMillis - now);
            return;
        }
        mBusy = true;
        mBusySinceMillis = now;
        if (mNextOffset == NOT_KNOWN) {
            readToEnd(List.of(), 0, 0);
        } else {
            appendBatch(now);
        }
    }

    private void pause(long millis) {
        mPaused = true;
        mLog.later(
                millis,
                () -> {
                    mPaused = false;
                    pump();
                });
    }

    private void appendBatch(long now) {
        List<Waiting> batch = new ArrayList<>();
        while (!mWaiting.isEmpty() && batch.size() < MAX_BATCH_RECORDS) {
            addOrRefuse(batch, mWaiting.poll(), now);
        }
        if (batch.isEmpty()) {
            idle();
            return;
        }
        mNextAppendMillis = now + mSettings.appendIntervalMillis();
        mAppends.increment();
        List<byte[]> records = batch.stream().map(w -> ClaimCodec.encode(w.record())).toList();
        mLog.append(mStream, records, (first, failure) -> appended(batch, first, failure));
    }

    private void addOrRefuse(List<Waiting> batch, Waiting waiting, long now) {
        if (now - waiting.sinceMillis() > mSettings.claimTimeoutMillis()) {
            waiting.fail(ClaimRefusal.LOG_SLOW, mSettings.backoffMillis());
        } else if (waiting.record() instanceof Claim claim && !mFold.canDecide(claim.key())) {
            waiting.fail(ClaimRefusal.TOO_OLD, 0);
        } else {
            batch.add(waiting);
        }
    }

    private void appended(List<Waiting> batch, Long first, PlatformException failure) {
        if (ClaimLog.surelyDidNotHappen(failure)) {
            down(batch);
            return;
        }
        boolean acknowledged = failure == null;
        if (acknowledged) {
            batch.forEach(waiting -> waiting.noted().complete(true));
        }
        readToEnd(batch, acknowledged ? first + batch.size() : 0, 0);
    }

    /** Reads on until the end of the stream, which must reach {@code atLeast}. */
    private void readToEnd(List<Waiting> batch, long atLeast, int staleReads) {
        mLog.read(
                mStream,
                Math.max(LogService.FIRST_OFFSET, mNextOffset),
                (page, failure) -> {
                    if (failure != null) {
                        down(batch);
                        return;
                    }
                    fold(page);
                    boolean progress = !page.entries().isEmpty();
                    if (mNextOffset < page.nextOffset() && progress) {
                        readToEnd(batch, atLeast, staleReads);
                    } else if (mNextOffset >= Math.max(atLeast, page.nextOffset())) {
                        batch.forEach(w -> w.settle(mFold, mSettings.backoffMillis()));
                        batch.forEach(waiting -> waiting.noted().complete(false));
                        idle();
                    } else if (staleReads < MAX_STALE_READS) {
                        Runnable again = () -> readToEnd(batch, atLeast, staleReads + 1);
                        mLog.later(STALE_READ_PAUSE_MILLIS, again);
                    } else {
                        down(batch);
                    }
                });
    }

    private void fold(LogService.Page page) {
        boolean unread = mNextOffset == NOT_KNOWN;
        if (unread && page.firstOffset() == LogService.FIRST_OFFSET) {
            mFold.beginAtOrigin();
        } else if (unread || page.firstOffset() > mNextOffset) {
            long oldest =
                    page.entries().isEmpty()
                            ? mLog.nowMillis()
                            : page.entries().getFirst().appendedAtMillis();
            mFold.beginAt(oldest, page.firstOffset());
        }
        mNextOffset = Math.max(mNextOffset, page.firstOffset());
        for (LogService.Entry entry : page.entries()) {
            ClaimCodec.decode(entry.data())
                    .onSuccess(
                            record -> mFold.apply(entry.offset(), entry.appendedAtMillis(), record))
                    .onFailure(error -> mUndecodable.increment());
            mNextOffset = entry.offset() + 1;
        }
    }

    private void down(List<Waiting> batch) {
        long backoff = mSettings.backoffMillis();
        mDownUntilMillis = mLog.nowMillis() + backoff;
        batch.forEach(waiting -> waiting.fail(ClaimRefusal.LOG_UNAVAILABLE, backoff));
        mWaiting.forEach(waiting -> waiting.fail(ClaimRefusal.LOG_UNAVAILABLE, backoff));
        mWaiting.clear();
        idle();
    }

    private void idle() {
        mBusy = false;
        pump();
    }

    private static ClaimVerdict refusal(ClaimRefusal reason, long retryAfterMillis) {
        return new ClaimVerdict.Refused(reason, Math.max(0, retryAfterMillis));
    }
}
