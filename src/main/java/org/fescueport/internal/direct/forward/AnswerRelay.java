package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.fescueport.internal.direct.config.RequestKind;

/** How the answer of a replica is passed on to the caller. */
sealed interface AnswerRelay permits WholeRelay, StreamRelay, EventRelay {
    /** Returns the relay for this kind of request. */
    static AnswerRelay of(RequestKind kind, CallerSide caller, WireProtocol protocol) {
        return switch (kind) {
            case REPEATABLE, ONCE -> new WholeRelay(caller, protocol);
            case STREAM_ONCE -> new StreamRelay(caller, protocol);
            case STREAM_RESUMABLE -> new EventRelay(caller, protocol);
        };
    }

    /** Takes the head of a replica's answer. */
    void onHead(AnswerHead head);

    /** Takes part of its body; the buffer is handed over. */
    void onContent(ByteBuf content);

    /** Ends the caller's answer as complete. */
    void finish();

    /** Forgets what came of an answer that another one will replace or continue. */
    void restart();

    /** Returns whether the caller has been sent part of an answer. */
    boolean hasBegun();

    /** Returns the last event that was passed on whole. */
    Optional<String> lastEventId();

    /** Lets go of what is held. */
    void close();
}
