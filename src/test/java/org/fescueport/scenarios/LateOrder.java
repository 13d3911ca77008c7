package org.fescueport.scenarios;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.FrameListener;
import org.fescueport.internal.wire.FrameTransport;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Call;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.OrderAnswer;
import org.fescueport.internal.wire.generated.OrderCall;

/** An order that was under way while its sender lost the lease. */
final class LateOrder {
    private static final long TIMEOUT_SECONDS = 20;

    private LateOrder() {}

    /** Sends the order to an agent and returns its answer. */
    static OrderAnswer send(int port, String artifact, long token) {
        var answer = new CompletableFuture<Frame>();
        var transport = FrameTransport.create(1, Optional::empty, Optional::empty, failure -> {});
        try {
            var address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            var connection = transport.connect(address, new Answers(answer)).join();
            var order =
                    OrderCall.newBuilder()
                            .setFencingToken(token)
                            .setKind("load")
                            .setSubject(artifact);
            var call = Call.newBuilder().setId(1).setMethod(PeerCalls.ORDER);
            call.setPayload(order.build().toByteString());
            connection.send(Frame.newBuilder().setCall(call).build());
            var reply = answer.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join().getReply();
            return OrderAnswer.parseFrom(reply.getPayload());
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError("the agent's answer to an order is unreadable", e);
        } finally {
            transport.close();
        }
    }

    private record Answers(CompletableFuture<Frame> answer) implements FrameListener {
        @Override
        public void onOpen(FrameConnection connection) {
            // The order is sent by whoever connected.
        }

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            if (frame.hasReply()) {
                answer.complete(frame);
            }
        }

        @Override
        public void onClosed(FrameConnection connection) {
            answer.completeExceptionally(new AssertionError("the agent closed the connection"));
        }
    }
}
