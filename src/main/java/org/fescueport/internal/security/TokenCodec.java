package org.fescueport.internal.security;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/** Binary form of the tokens' contents. */
final class TokenCodec {
    /** Longest content of a token. */
    static final int MAX_BYTES = 1024;

    private TokenCodec() {}

    static byte[] encode(ChatTicketToken token) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        putText(out, token.team().name());
        putText(out, token.chat().name());
        putText(out, token.pool().name());
        putAgent(out, token.holder());
        out.putLong(token.prefixHash()).putInt(token.prefixTokens());
        out.putLong(token.expiresAtMillis());
        return bytes(out);
    }

    static ChatTicketToken chatTicket(ByteBuffer in) throws BufferUnderflowException {
        return new ChatTicketToken(
                TeamId.of(text(in)),
                ChatId.of(text(in)),
                PoolId.of(text(in)),
                agent(in),
                in.getLong(),
                in.getInt(),
                in.getLong());
    }

    static byte[] encode(ResumeToken token) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        putText(out, token.team().name());
        RequestId request = token.attempt().request();
        out.putLong(request.high()).putLong(request.low()).putInt(token.attempt().number());
        putAgent(out, token.agent());
        putText(out, token.address());
        out.putLong(token.expiresAtMillis());
        return bytes(out);
    }

    static ResumeToken resume(ByteBuffer in) throws BufferUnderflowException {
        return new ResumeToken(
                TeamId.of(text(in)),
                AttemptId.of(RequestId.of(in.getLong(), in.getLong()), in.getInt()),
                agent(in),
                text(in),
                in.getLong());
    }

    static byte[] encode(OwnerBoundKey token) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        putText(out, token.team().name());
        putText(out, token.service().name());
        putText(out, token.operation());
        putAgent(out, token.owner());
        putText(out, token.address());
        out.putLong(token.serial()).putLong(token.expiresAtMillis());
        return bytes(out);
    }

    static OwnerBoundKey ownerBoundKey(ByteBuffer in) throws BufferUnderflowException {
        return new OwnerBoundKey(
                TeamId.of(text(in)),
                PoolId.of(text(in)),
                text(in),
                agent(in),
                text(in),
                in.getLong(),
                in.getLong());
    }

    private static void putAgent(ByteBuffer out, AgentIncarnation agent) {
        putText(out, agent.node().name());
        out.putLong(agent.number());
    }

    private static AgentIncarnation agent(ByteBuffer in) {
        return AgentIncarnation.of(NodeId.of(text(in)), in.getLong());
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length + Long.BYTES * 6 > out.remaining()) {
            throw new IllegalArgumentException(
                    "a token holds at most %d bytes and \"%.40s\" does not fit"
                            .formatted(MAX_BYTES, text));
        }
        out.putShort((short) bytes.length).put(bytes);
    }

    private static String text(ByteBuffer in) {
        int length = Short.toUnsignedInt(in.getShort());
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static byte[] bytes(ByteBuffer out) {
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }
}
