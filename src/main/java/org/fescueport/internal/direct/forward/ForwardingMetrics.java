package org.fescueport.internal.direct.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.admission.ShutdownAdmission.Decision;

/** Counts forwarded requests and records their latency. */
public final class ForwardingMetrics {
    /** How a request ended. */
    public enum End {
        /** A replica's response was delivered completely. */
        ANSWERED,
        /** It was refused and has not run. */
        REFUSED,
        /** It failed after it had been sent. */
        FAILED,
        /** Its deadline passed. */
        TIME_OVER,
        /** The caller disconnected before the end of the response. */
        CALLER_LEFT,
        /** The response was cut off after part of it had been sent to the caller. */
        CUT
    }

    /** Why the head of a request was not read to its end. */
    public enum HeadRefusal {
        /** It exceeds the limit of one head. */
        TOO_LARGE,
        /** The heads of all callers leave no room for it. */
        NO_ROOM
    }

    private static final Duration[] BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(30),
        Duration.ofMillis(100),
        Duration.ofMillis(300),
        Duration.ofSeconds(1),
        Duration.ofSeconds(3),
        Duration.ofSeconds(10)
    };

    private final Map<End, Counter> mEnds = new EnumMap<>(End.class);
    private final Map<Decision, Counter> mWhileStopping = new EnumMap<>(Decision.class);
    private final Map<HeadRefusal, Counter> mHeadRefusals = new EnumMap<>(HeadRefusal.class);
    private final Timer mFirstByte;
    private final Counter mSends;
    private final Counter mRetries;
    private final Counter mPartRefusals;
    private final Counter mUnreadableLoads;
    private final Counter mStalledStreams;
    private final Counter mRetriesWithheld;
    private final Counter mLargerThanMemory;

    private ForwardingMetrics(MeterRegistry registry) {
        for (var end : End.values()) {
            mEnds.put(
                    end,
                    Counter.builder("fescue.requests")
                            .tag("end", end.name().toLowerCase(java.util.Locale.ROOT))
                            .register(registry));
        }
        for (var decision : Decision.values()) {
            mWhileStopping.put(
                    decision,
                    Counter.builder("fescue.requests.while.stopping")
                            .tag("decision", decision.name().toLowerCase(java.util.Locale.ROOT))
                            .register(registry));
        }
        for (var refusal : HeadRefusal.values()) {
            mHeadRefusals.put(
                    refusal,
                    Counter.builder("fescue.head.refusals")
                            .tag("reason", refusal.name().toLowerCase(java.util.Locale.ROOT))
                            .register(registry));
        }
        mFirstByte =
                Timer.builder("fescue.first.byte")
                        .serviceLevelObjectives(BUCKETS)
                        .register(registry);
        mSends = registry.counter("fescue.sends");
        mRetries = registry.counter("fescue.retries");
        mPartRefusals = registry.counter("fescue.part.refusals");
        mUnreadableLoads = registry.counter("fescue.replica.loads.unreadable");
        mStalledStreams = registry.counter("fescue.streams.stalled");
        mRetriesWithheld = registry.counter("fescue.retries.withheld");
        mLargerThanMemory = registry.counter("fescue.requests.larger.than.memory");
    }

    /** Returns metrics that are registered in this registry. */
    public static ForwardingMetrics create(MeterRegistry registry) {
        return new ForwardingMetrics(registry);
    }

    void onEnd(End end) {
        mEnds.get(end).increment();
    }

    /** Counts a head that was refused, or whose connection was closed. */
    void onHeadRefused(HeadRefusal refusal) {
        mHeadRefusals.get(refusal).increment();
    }

    /** Counts a request that arrived while this node was stopping. */
    void onWhileStopping(Decision decision) {
        mWhileStopping.get(decision).increment();
    }

    /** Records the time from the request's arrival to the first byte of its response. */
    void onFirstByte(long nanos) {
        mFirstByte.record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a request that was not sent, because one of its prompt parts crashes replicas. */
    void onPartRefused() {
        mPartRefusals.increment();
    }

    /** Counts a replica's statement of its load that counts as not told. */
    void onUnreadableLoad() {
        mUnreadableLoads.increment();
    }

    /** Counts a stream that went on at another replica because it had stalled. */
    void onStalledStreamMoved() {
        mStalledStreams.increment();
    }

    /** Counts a retry that was withheld because such retries have not succeeded lately. */
    void onRetryWithheld() {
        mRetriesWithheld.increment();
    }

    /** Counts a request that was refused because no replica's memory can hold it. */
    void onLargerThanMemory() {
        mLargerThanMemory.increment();
    }

    void onSend(boolean retry) {
        mSends.increment();
        if (retry) {
            mRetries.increment();
        }
    }
}
