package org.fescueport.internal.load;

import io.micrometer.core.instrument.Clock;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.fescueport.internal.http.AsyncHttpCaller;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.http.HttpCallerSettings;
import org.fescueport.internal.load.LoadRecorder.Ending;

/**
 * Sends a load to one or more targets, which take turns, and records each apart.
 *
 * <pre>{@code
 * List<LoadRecorder> recorders = LoadRunner.run(profile, List.of(direct, throughFleet));
 * }</pre>
 */
final class LoadRunner {
    /** A place that serves chats; requests go to its URLs in turn. */
    record Target(List<URI> urls) {
        Target {
            urls = List.copyOf(urls);
        }
    }

    /** What a run saw; {@code overflow} counts arrivals that were not sent for too many ran. */
    record Result(List<LoadRecorder> recorders, long overflow) {}

    private static final int MOST_IN_FLIGHT = 5000;
    private static final int MOST_CONNECTIONS = 2048;
    private static final int IO_THREADS = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(120);
    private static final String PATH = "/v1/chat/completions";

    private final LoadProfile mProfile;
    private final List<Target> mTargets;
    private final List<LoadRecorder> mRecorders;
    private final List<ChatPool> mPools;
    private final LoadRecorder mWarmup = new LoadRecorder();
    private final Clock mClock = Clock.SYSTEM;
    private final ChatText mText;
    private final ArrivalSchedule mArrivals;
    private final SplittableRandom mRandom;
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final LongAdder mOverflow = new LongAdder();
    private final CountDownLatch mSentAll = new CountDownLatch(1);
    private final HttpCaller mCaller;
    private final ScheduledExecutorService mScheduler;
    private long mStartNanos;
    private long mSent;
    private ArrivalSchedule.Arrival mNext;

    private LoadRunner(LoadProfile profile, List<Target> targets) {
        mProfile = profile;
        mTargets = targets;
        mRandom = new SplittableRandom(profile.seed());
        mRecorders = targets.stream().map(unused -> new LoadRecorder()).toList();
        mPools = targets.stream().map(unused -> ChatPool.of(profile, mRandom.split())).toList();
        mText = ChatText.of(profile);
        mArrivals = ArrivalSchedule.of(profile, mRandom.split());
        mCaller =
                AsyncHttpCaller.create(
                        HttpCallerSettings.defaults()
                                .withConnections(MOST_CONNECTIONS, MOST_CONNECTIONS)
                                .withConnectTimeout(CONNECT_TIMEOUT)
                                .withIoThreads(IO_THREADS));
        mScheduler =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().name("load-arrivals").factory());
    }

    /** Runs the load to its end and waits for the last answers. */
    static Result run(LoadProfile profile, List<Target> targets) throws InterruptedException {
        LoadRunner runner = new LoadRunner(profile, targets);
        try {
            runner.send();
            return new Result(runner.mRecorders, runner.mOverflow.sum());
        } finally {
            runner.mScheduler.shutdownNow();
            runner.mCaller.close();
        }
    }

    private void send() throws InterruptedException {
        mStartNanos = mClock.monotonicTime();
        mNext = mArrivals.next();
        mScheduler.execute(this::sendDue);
        mSentAll.await();
        CountDownLatch idle = new CountDownLatch(1);
        var unused =
                mScheduler.scheduleWithFixedDelay(
                        () -> {
                            if (mInFlight.get() == 0) {
                                idle.countDown();
                            }
                        },
                        0,
                        10,
                        TimeUnit.MILLISECONDS);
        boolean allEnded = idle.await(CALL_TIMEOUT.toSeconds() + 1, TimeUnit.SECONDS);
        if (!allEnded) {
            throw new IllegalStateException("Some calls had no end within their time limit.");
        }
    }

    private void sendDue() {
        long now = mClock.monotonicTime() - mStartNanos;
        while (mNext != null && mNext.atNanos() <= now) {
            sendOne(mNext);
            mNext = mArrivals.next();
        }
        if (mNext == null) {
            mSentAll.countDown();
            return;
        }
        long wait = mNext.atNanos() - (mClock.monotonicTime() - mStartNanos);
        var unused = mScheduler.schedule(this::sendDue, Math.max(0, wait), TimeUnit.NANOSECONDS);
    }

    private void sendOne(ArrivalSchedule.Arrival arrival) {
        if (mInFlight.get() >= MOST_IN_FLIGHT) {
            mOverflow.increment();
            return;
        }
        int place = (int) (mSent % mTargets.size());
        long round = mSent / mTargets.size();
        mSent++;
        Target target = mTargets.get(place);
        Chat chat = mPools.get(place).next(arrival.team());
        boolean isWarmup = arrival.atNanos() < mProfile.warmupNanos();
        LoadRecorder recorder = isWarmup ? mWarmup : mRecorders.get(place);
        boolean isInSurge = mProfile.surge().isOn(arrival.atNanos() - mProfile.warmupNanos());
        ChatCall call =
                new ChatCall(
                        recorder,
                        mClock,
                        mStartNanos + arrival.atNanos(),
                        mText.expected(chat),
                        result -> ended(recorder, chat, isInSurge, result));
        mInFlight.incrementAndGet();
        URI url = target.urls().get((int) (round % target.urls().size()));
        mCaller.stream(request(url, chat), call);
    }

    private HttpCaller.Request request(URI url, Chat chat) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put("Authorization", "Bearer " + mProfile.keys().get(chat.team()));
        if (!chat.ticket().isEmpty()) {
            headers.put("Fescue-Ticket", chat.ticket());
        }
        boolean isStreaming = mRandom.nextInt(100) < mProfile.streamPercent();
        return new HttpCaller.Request(
                "POST", url + PATH, headers, mText.body(chat, isStreaming), CALL_TIMEOUT);
    }

    private void ended(
            LoadRecorder recorder, Chat chat, boolean isInSurge, ChatCall.Result result) {
        if (result.ending() == Ending.WHOLE) {
            chat.answered(result.ticket());
            if (chat.team() != 0) {
                recorder.endedOfOthers(isInSurge, result.nanos());
            }
        } else {
            chat.unanswered();
        }
        mInFlight.decrementAndGet();
    }
}
