package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.fescueport.internal.log.config.ConfigFollower;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.FrameListener;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Call;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.internal.wire.generated.Reply;

/** Hands the frames of all connections to the agent's loop. */
final class AgentServer implements FrameListener {
    private final AgentCore mCore;
    private final Executor mLoop;
    private final ConfigFollower mConfig;
    private final Supplier<Hello> mHello;

    private AgentServer(
            AgentCore core, Executor loop, ConfigFollower config, Supplier<Hello> hello) {
        mCore = core;
        mLoop = loop;
        mConfig = config;
        mHello = hello;
    }

    static AgentServer of(
            AgentCore core, Executor loop, ConfigFollower config, Supplier<Hello> hello) {
        return new AgentServer(core, loop, config, hello);
    }

    @Override
    public void onOpen(FrameConnection connection) {
        mLoop.execute(
                () -> {
                    mCore.onOpen(connection);
                    connection.send(Frame.newBuilder().setHello(mHello.get()).build());
                });
    }

    @Override
    public void onFrame(FrameConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case SUBMIT -> mLoop.execute(() -> mCore.onSubmit(connection, frame.getSubmit()));
            case CANCEL -> {
                var id = Frames.idOf(frame.getCancel().getKey());
                mLoop.execute(() -> mCore.onCancel(id));
            }
            case CREDIT -> mLoop.execute(() -> mCore.onCredit(frame.getCredit()));
            case RESUME -> mLoop.execute(() -> mCore.onResume(connection, frame.getResume()));
            case REFUSE -> {
                var id = Frames.idOf(frame.getRefuse().getKey());
                mLoop.execute(() -> mCore.onRefuse(connection, id));
            }
            case CALL -> answer(connection, frame.getCall());
            default -> {
                // Frames that a newer peer may send ask nothing of this version.
            }
        }
    }

    @Override
    public void onClosed(FrameConnection connection) {
        mLoop.execute(() -> mCore.onClosed(connection));
    }

    private void answer(FrameConnection connection, Call call) {
        var reply = Reply.newBuilder().setId(call.getId());
        switch (call.getMethod()) {
            case PeerCalls.CONFIG_RECORDS -> {
                long offset = call.getPayload().asReadOnlyByteBuffer().getLong();
                reply.setPayload(ByteString.copyFrom(mConfig.recordsFrom(offset)));
            }
            case PeerCalls.PROBE -> {
                // The reply itself is the answer.
            }
            default -> reply.setError("unknown call " + call.getMethod());
        }
        connection.send(Frame.newBuilder().setReply(reply).build());
    }
}
