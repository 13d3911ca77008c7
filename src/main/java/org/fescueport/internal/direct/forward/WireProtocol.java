package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between HTTP messages and what the forwarding works with. */
public interface WireProtocol {
    /** Thrown for a request that cannot be read; the message says why. */
    final class BadRequestException extends Exception {
        private static final long serialVersionUID = 1L;

        private BadRequestException(String message) {
            super(message);
        }

        /** Returns the exception with this message. */
        public static BadRequestException of(String message) {
            return new BadRequestException(message);
        }
    }

    /** Reads a caller's request. */
    CallerRequest readRequest(HttpRequest request) throws BadRequestException;

    /** Writes a request to a replica. */
    FullHttpRequest writeRequest(CallerRequest request, ByteBuf body, Dispatch dispatch);

    /** Reads the head of a replica's answer. */
    ResponseHead readResponseHead(HttpResponse response);

    /** Writes the head of an answer to a caller. */
    HttpResponse writeResponseHead(ResponseHead head);

    /** Writes an answer of the router's own. */
    FullHttpResponse writeRefusal(Refusal refusal);
}
