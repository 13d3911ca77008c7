package org.fescueport.internal.router;

import java.util.Optional;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.placement.Replica;

/**
 * A caller's request after its key, body and headers were checked.
 *
 * @param chat the returning chat; derived from the first messages when the caller names none
 * @param prefixHash hash of the shared system prompt; 0 when there is none
 * @param deadlineNanos monotonic time by which the whole answer is due
 * @param priority class of priority; 0 is the most urgent
 * @param ticket what the caller brought back in {@code Fescue-Ticket}; may be empty
 * @param owner the only replica that may run it, for a key that one agent owns
 * @param traceparent trace context for the next hop
 */
record CallerRequest(
        RequestId id,
        Target target,
        PoolId pool,
        double loadBound,
        TeamDeclaration team,
        ChatId chat,
        long prefixHash,
        int promptTokens,
        int maxTokens,
        int priority,
        long deadlineNanos,
        byte[] body,
        String ticket,
        Optional<Replica> owner,
        String traceparent,
        long configVersion) {

    /** What a request is for. */
    sealed interface Target {
        /** A generation by a model. */
        record Model(String name, boolean isStreaming) implements Target {}

        /**
         * A call of a plain service.
         *
         * @param idempotencyKey the caller's key; empty for an idempotent operation
         */
        record Service(
                String name,
                String operation,
                String contentType,
                boolean isRepeatable,
                String idempotencyKey)
                implements Target {}
    }

    /** Returns whether a second run does no harm. */
    boolean isRepeatable() {
        return switch (target) {
            case Target.Model ignored -> true;
            case Target.Service service -> service.isRepeatable();
        };
    }
}
