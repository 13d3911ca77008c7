package org.fescueport.internal.agent;

import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.FrameListener;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.generated.Call;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.internal.wire.generated.Reply;

/** Hands the frames of all connections to the agent's loop. */
final class AgentServer implements FrameListener {
    private final AgentCore mCore;
    private final Executor mLoop;
    private final AgentCalls mCalls;
    private final Supplier<Hello> mHello;

    private AgentServer(AgentCore core, Executor loop, AgentCalls calls, Supplier<Hello> hello) {
        mCore = core;
        mLoop = loop;
        mCalls = calls;
        mHello = hello;
    }

    static AgentServer of(AgentCore core, Executor loop, AgentCalls calls, Supplier<Hello> hello) {
        return new AgentServer(core, loop, calls, hello);
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
        mCalls.answer(call)
                .whenComplete(
                        (payload, failure) -> {
                            var reply = Reply.newBuilder().setId(call.getId());
                            if (failure == null) {
                                reply.setPayload(payload);
                            } else {
                                reply.setError(String.valueOf(failure.getMessage()));
                            }
                            connection.send(Frame.newBuilder().setReply(reply).build());
                        });
    }
}
