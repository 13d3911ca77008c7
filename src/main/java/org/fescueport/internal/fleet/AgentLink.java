package org.fescueport.internal.fleet;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.Counter;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.WireException;
import org.fescueport.internal.wire.generated.Call;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.internal.wire.generated.Reply;

/** An open connection to one agent, shared by many attempts. */
public final class AgentLink {
    private final NodeId mNode;
    private final FrameConnection mConnection;
    private final Counter mStaleFrames;
    private final Map<AttemptId, AttemptListener> mAttempts = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Reply>> mCalls = new ConcurrentHashMap<>();
    private final AtomicLong mNextCall = new AtomicLong();
    private final CompletableFuture<Hello> mHello = new CompletableFuture<>();
    private volatile long mLastUsedNanos;
    private volatile long mLastHeardNanos;
    private volatile long mProbedNanos;
    private volatile boolean mIsProbing;

    private AgentLink(NodeId node, FrameConnection connection, Counter staleFrames, long nowNanos) {
        mNode = node;
        mConnection = connection;
        mStaleFrames = staleFrames;
        mLastUsedNanos = nowNanos;
        mLastHeardNanos = nowNanos;
    }

    public static AgentLink of(
            NodeId node, FrameConnection connection, Counter staleFrames, long nowNanos) {
        return new AgentLink(node, connection, staleFrames, nowNanos);
    }

    public NodeId node() {
        return mNode;
    }

    /** Completes when the agent has said who it is. */
    public CompletableFuture<Hello> hello() {
        return mHello;
    }

    /** Sends the first frame of an attempt; its listener hears everything until an outcome. */
    public void submit(AttemptId id, Frame frame, AttemptListener listener, long nowNanos) {
        mLastUsedNanos = nowNanos;
        mAttempts.put(id, listener);
        mConnection.send(frame);
        if (!mConnection.isOpen()) {
            loseAttempt(id);
        }
    }

    public void send(Frame frame) {
        mConnection.send(frame);
    }

    /**
     * Ends a listener's part in an attempt: frames of it that still arrive are dropped and counted.
     * Returns false when another listener has taken the attempt over, which then goes on.
     */
    public boolean forget(AttemptId id, AttemptListener listener) {
        return mAttempts.remove(id, listener) || !mAttempts.containsKey(id);
    }

    /** Makes a call; the future fails with {@link WireException} when the agent is lost. */
    public CompletableFuture<Reply> call(String method, ByteString payload) {
        long id = mNextCall.incrementAndGet();
        var reply = new CompletableFuture<Reply>();
        mCalls.put(id, reply);
        var call = Call.newBuilder().setId(id).setMethod(method).setPayload(payload);
        mConnection.send(Frame.newBuilder().setCall(call).build());
        if (!mConnection.isOpen()) {
            loseCall(id);
        }
        return reply.thenCompose(AgentLink::orError);
    }

    /**
     * Looks after a link on which somebody waits: probes an agent that was not heard for {@code
     * patienceNanos}, and closes the connection when the probe stays without a reply for as long.
     */
    public void probe(long nowNanos, long patienceNanos) {
        boolean isAwaited = !mAttempts.isEmpty() || !mCalls.isEmpty() || !mHello.isDone();
        if (!isAwaited || nowNanos - mLastHeardNanos < patienceNanos) {
            return;
        }
        if (!mIsProbing) {
            mIsProbing = true;
            mProbedNanos = nowNanos;
            call(PeerCalls.PROBE, ByteString.EMPTY);
        } else if (nowNanos - mProbedNanos >= patienceNanos) {
            close();
        }
    }

    public boolean isOpen() {
        return mConnection.isOpen();
    }

    public boolean isIdleSince(long nanos) {
        return mAttempts.isEmpty() && mCalls.isEmpty() && mLastUsedNanos - nanos < 0;
    }

    public void close() {
        mConnection.close();
    }

    public void onFrame(Frame frame, long nowNanos) {
        mLastHeardNanos = nowNanos;
        mIsProbing = false;
        switch (frame.getBodyCase()) {
            case HELLO -> mHello.complete(frame.getHello());
            case STARTED -> {
                var listener = listenerOf(Frames.idOf(frame.getStarted().getKey()));
                if (listener != null) {
                    listener.onStarted(frame.getStarted());
                }
            }
            case CHUNK -> {
                var listener = listenerOf(Frames.idOf(frame.getChunk().getKey()));
                if (listener != null) {
                    listener.onChunk(frame.getChunk());
                }
            }
            case OUTCOME -> {
                var id = Frames.idOf(frame.getOutcome().getKey());
                var listener = listenerOf(id);
                if (listener != null) {
                    mAttempts.remove(id, listener);
                    listener.onOutcome(frame.getOutcome());
                }
            }
            case REPLY -> {
                var reply = mCalls.remove(frame.getReply().getId());
                if (reply != null) {
                    reply.complete(frame.getReply());
                }
            }
            default -> mStaleFrames.increment();
        }
    }

    public void onClosed() {
        mHello.completeExceptionally(WireException.of("lost " + mNode, null));
        for (var id : mAttempts.keySet()) {
            loseAttempt(id);
        }
        for (var id : mCalls.keySet()) {
            loseCall(id);
        }
    }

    private static CompletableFuture<Reply> orError(Reply reply) {
        return reply.getError().isEmpty()
                ? CompletableFuture.completedFuture(reply)
                : CompletableFuture.failedFuture(WireException.of(reply.getError(), null));
    }

    private AttemptListener listenerOf(AttemptId id) {
        var listener = mAttempts.get(id);
        if (listener == null) {
            mStaleFrames.increment();
        }
        return listener;
    }

    private void loseAttempt(AttemptId id) {
        var listener = mAttempts.remove(id);
        if (listener != null) {
            listener.onLost();
        }
    }

    private void loseCall(long id) {
        var reply = mCalls.remove(id);
        if (reply != null) {
            reply.completeExceptionally(WireException.of("lost " + mNode + " during a call", null));
        }
    }
}
