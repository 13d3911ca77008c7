package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Clock;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.transfer.TransferCosts;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Submit;
import org.fescueport.port.Engine;

/**
 * Brings a chat's KV cache from the agent that holds it, before the chat runs here, where that is
 * cheaper than to rebuild it; on the agent's loop.
 */
final class CacheImport {
    /** Costs to begin with; later ones are learnt from what was seen. */
    private static final double FIXED_MILLIS = 5;

    private static final double MILLIS_PER_TOKEN = 0.01;
    private static final double REBUILD_MILLIS_PER_TOKEN = 0.05;
    private static final long LIMIT_MILLIS = 400;

    private final Engine mEngine;
    private final Membership mMembership;
    private final AgentConnections mConnections;
    private final Executor mLoop;
    private final Clock mClock;
    private final AgentCounters mCounters;
    private final TransferCosts mCosts =
            TransferCosts.withInitialCosts(
                    FIXED_MILLIS, MILLIS_PER_TOKEN, REBUILD_MILLIS_PER_TOKEN);

    private CacheImport(
            Engine engine,
            Membership membership,
            AgentConnections connections,
            Executor loop,
            Clock clock,
            AgentCounters counters) {
        mEngine = engine;
        mMembership = membership;
        mConnections = connections;
        mLoop = loop;
        mClock = clock;
        mCounters = counters;
    }

    static CacheImport of(
            Engine engine,
            Membership membership,
            AgentConnections connections,
            Executor loop,
            Clock clock,
            AgentCounters counters) {
        return new CacheImport(engine, membership, connections, loop, clock, counters);
    }

    /** Calls {@code then} on the loop, after the import where one is worth it. */
    void before(Run run, Runnable then) {
        var source = sourceOf(run.submit());
        if (source.isEmpty() || !isWorthIt(run.submit().getPromptTokens())) {
            then.run();
            return;
        }
        long started = mClock.monotonicTime();
        bring(source.get(), run.submit().getBody())
                .orTimeout(LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .whenCompleteAsync(
                        (done, failure) -> {
                            learn(run.submit(), started, failure == null);
                            then.run();
                        },
                        mLoop);
    }

    /** Exports the cache of a prompt for the agent that asks. */
    CompletableFuture<ByteString> export(ByteString body) {
        return mEngine.exportCache(body.toByteArray()).thenApply(ByteString::copyFrom);
    }

    /** Imports a cache that an agent which leaves hands over. */
    CompletableFuture<ByteString> take(ByteString cache) {
        return importCache(cache).thenApply(done -> ByteString.EMPTY);
    }

    private CompletableFuture<Void> bring(Replica source, ByteString body) {
        return mConnections
                .to(source)
                .thenCompose(link -> link.call(PeerCalls.KV_EXPORT, body))
                .thenCompose(reply -> importCache(reply.getPayload()));
    }

    private CompletableFuture<Void> importCache(ByteString cache) {
        return cache.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : mEngine.importCache(cache.toByteArray());
    }

    private Optional<Replica> sourceOf(Submit submit) {
        return submit.getKvSource().isEmpty()
                ? Optional.empty()
                : mMembership.find(NodeId.of(submit.getKvSource()));
    }

    private boolean isWorthIt(long tokens) {
        return mCosts.importMillis(tokens) < mCosts.rebuildMillis(tokens);
    }

    private void learn(Submit submit, long startedNanos, boolean succeeded) {
        long millis = TimeUnit.NANOSECONDS.toMillis(mClock.monotonicTime() - startedNanos);
        mCosts.onImport(submit.getPromptTokens(), millis);
        mCounters.onCacheImport(succeeded);
    }
}
