package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.transfer.HandoverBudget;
import org.fescueport.internal.decision.transfer.RecentChats;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.port.Engine;

/**
 * Hands the KV caches of recent chats to the agents that rank next for them when this one leaves as
 * planned, the hottest first, one at a time, within a {@link HandoverBudget}; on the agent's loop.
 * Chats that end while it leaves are handed over too.
 */
final class CacheHandover {
    private static final int MAX_CHATS = 256;

    /** A chat with a longer body is not kept: all together take at most 16 MiB. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static final long BYTES_PER_SECOND = 64L << 20;
    private static final long MAX_BYTES = 1L << 30;

    /** A larger cache would hold up the frames behind it, and is left to be rebuilt. */
    private static final int MAX_CACHE_BYTES = 32 << 20;

    private static final long CHAT_TIMEOUT_SECONDS = 5;

    /** Takes an exported cache to another agent. */
    @FunctionalInterface
    interface Sender {
        CompletableFuture<?> send(Replica target, ByteString cache);
    }

    private final Engine mEngine;
    private final NodeId mSelf;
    private final PoolId mPool;
    private final Membership mMembership;
    private final Sender mSender;
    private final ScheduledExecutorService mLoop;
    private final Clock mClock;
    private final AgentCounters mCounters;
    private final RecentChats<ByteString> mChats = RecentChats.create(MAX_CHATS);
    private HandoverBudget mBudget;
    private boolean mIsBusy;
    private volatile boolean mIsDone;

    private CacheHandover(
            Engine engine,
            NodeId self,
            PoolId pool,
            Membership membership,
            Sender sender,
            ScheduledExecutorService loop,
            Clock clock,
            AgentCounters counters) {
        mEngine = engine;
        mSelf = self;
        mPool = pool;
        mMembership = membership;
        mSender = sender;
        mLoop = loop;
        mClock = clock;
        mCounters = counters;
    }

    static CacheHandover of(
            Engine engine,
            NodeId self,
            PoolId pool,
            Membership membership,
            Sender sender,
            ScheduledExecutorService loop,
            Clock clock,
            AgentCounters counters) {
        return new CacheHandover(engine, self, pool, membership, sender, loop, clock, counters);
    }

    /** Returns what sends caches over the connections between agents. */
    static Sender over(AgentConnections connections) {
        return (target, cache) ->
                connections.to(target).thenCompose(link -> link.call(PeerCalls.KV_IMPORT, cache));
    }

    /** Notes a chat whose answer was completed here. */
    void onCompleted(Run run, long tokens) {
        var submit = run.submit();
        if (submit.getChat().isEmpty() || submit.getBody().size() > MAX_BODY_BYTES) {
            return;
        }
        var affinity = Affinity.ofChat(run.team(), ChatId.of(submit.getChat()));
        mChats.onUsed(affinity, submit.getBody(), tokens, mClock.monotonicTime());
        if (mBudget != null) {
            handNextOver();
        }
    }

    /** Begins to hand over, for at most so long. */
    void begin(long seconds) {
        var limits = new HandoverBudget.Limits(BYTES_PER_SECOND, MAX_BYTES, seconds);
        mBudget = HandoverBudget.start(limits, mClock.monotonicTime());
        handNextOver();
    }

    /** Returns whether nothing is left to hand over; false before {@link #begin}. Thread-safe. */
    boolean isDone() {
        return mIsDone;
    }

    private void handNextOver() {
        if (mIsBusy) {
            return;
        }
        long now = mClock.monotonicTime();
        // Asked for anew each time: others may have joined or left, and other chats have ended.
        var left = mChats.hottestFirst(mMembership.replicas(mPool), mSelf, now);
        mIsDone = left.isEmpty() || mBudget.isExhausted(now);
        if (mIsDone) {
            return;
        }
        mIsBusy = true;
        var next = left.getFirst();
        mChats.forget(next.chat().affinity());
        handOver(next)
                .orTimeout(CHAT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .whenCompleteAsync((bytes, failure) -> onHandedOver(bytes, failure), mLoop);
    }

    private CompletableFuture<Integer> handOver(RecentChats.Handover<ByteString> handover) {
        return mEngine.exportCache(handover.chat().payload().toByteArray())
                .thenCompose(
                        cache ->
                                cache.length == 0 || cache.length > MAX_CACHE_BYTES
                                        ? CompletableFuture.completedFuture(0)
                                        : mSender.send(
                                                        handover.target(),
                                                        ByteString.copyFrom(cache))
                                                .thenApply(reply -> cache.length));
    }

    private void onHandedOver(Integer bytes, Throwable failure) {
        mCounters.onCacheHandover(failure == null && bytes > 0);
        mBudget.onSent(failure == null ? bytes : 0);
        long pause = mBudget.delayNanos(mClock.monotonicTime());
        mLoop.schedule(
                () -> {
                    mIsBusy = false;
                    handNextOver();
                },
                pause,
                TimeUnit.NANOSECONDS);
    }
}
