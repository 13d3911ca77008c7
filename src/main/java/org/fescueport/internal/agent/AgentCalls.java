package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.fescueport.internal.log.claim.ClaimDecider;
import org.fescueport.internal.log.config.ConfigFollower;
import org.fescueport.internal.log.poison.PoisonGuard;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.WireException;
import org.fescueport.internal.wire.generated.Call;
import org.fescueport.internal.wire.generated.IssueKey;

/** Answers the calls of other processes that are not requests of callers. */
final class AgentCalls {
    private final ConfigFollower mConfig;
    private final MeanGossip mGossip;
    private final ClaimDecider mDecider;
    private final Executor mLoop;
    private volatile KeyedRuns mKeyed;
    private volatile PoisonGuard mGuard;
    private volatile CacheImport mImport;
    private volatile OrderCalls mOrders;

    private AgentCalls(
            ConfigFollower config, MeanGossip gossip, ClaimDecider decider, Executor loop) {
        mConfig = config;
        mGossip = gossip;
        mDecider = decider;
        mLoop = loop;
    }

    static AgentCalls create(
            ConfigFollower config, MeanGossip gossip, ClaimDecider decider, Executor loop) {
        return new AgentCalls(config, gossip, decider, loop);
    }

    /**
     * Sets what issues keys and takes strikes in; called once, when the agent's address is known.
     */
    void use(KeyedRuns keyed, PoisonGuard guard) {
        mKeyed = keyed;
        mGuard = guard;
    }

    /** Sets what exports caches; without it none is exported. */
    void use(CacheImport cacheImport) {
        mImport = cacheImport;
    }

    /** Sets what takes orders to the engine; without it none are taken. */
    void use(OrderCalls orders) {
        mOrders = orders;
    }

    /** Returns the reply's payload; the future fails when the call cannot be answered. */
    CompletableFuture<ByteString> answer(Call call) {
        return switch (call.getMethod()) {
            case PeerCalls.PROBE -> CompletableFuture.completedFuture(ByteString.EMPTY);
            case PeerCalls.CONFIG_RECORDS -> configRecords(call);
            case PeerCalls.CONFIG_OFFER -> {
                mConfig.offerFromPeer(call.getPayload().toByteArray());
                yield CompletableFuture.completedFuture(ByteString.EMPTY);
            }
            case PeerCalls.MEAN ->
                    CompletableFuture.supplyAsync(() -> mGossip.answer(call.getPayload()), mLoop);
            case PeerCalls.CLAIM ->
                    mDecider.handle(call.getPayload().toByteArray())
                            .thenApply(ByteString::copyFrom);
            case PeerCalls.STRIKE -> {
                mGuard.receive(call.getPayload().toByteArray());
                yield CompletableFuture.completedFuture(ByteString.EMPTY);
            }
            case PeerCalls.KV_EXPORT ->
                    mImport == null
                            ? CompletableFuture.completedFuture(ByteString.EMPTY)
                            : mImport.export(call.getPayload());
            case PeerCalls.KV_IMPORT ->
                    mImport == null
                            ? CompletableFuture.completedFuture(ByteString.EMPTY)
                            : mImport.take(call.getPayload());
            case PeerCalls.ISSUE_KEY -> issueKey(call);
            case PeerCalls.ORDER ->
                    mOrders == null ? unknown(call) : mOrders.order(call.getPayload());
            case PeerCalls.REPLICA -> mOrders == null ? unknown(call) : mOrders.replica();
            default -> unknown(call);
        };
    }

    private static CompletableFuture<ByteString> unknown(Call call) {
        return CompletableFuture.failedFuture(
                WireException.of("unknown call " + call.getMethod(), null));
    }

    private CompletableFuture<ByteString> configRecords(Call call) {
        long offset = call.getPayload().asReadOnlyByteBuffer().getLong();
        var records = mConfig.recordsFrom(offset);
        return CompletableFuture.completedFuture(ByteString.copyFrom(records));
    }

    private CompletableFuture<ByteString> issueKey(Call call) {
        try {
            return mKeyed.issue(IssueKey.parseFrom(call.getPayload()))
                    .fold(
                            why -> CompletableFuture.failedFuture(WireException.of(why, null)),
                            key -> CompletableFuture.completedFuture(ByteString.copyFromUtf8(key)));
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
