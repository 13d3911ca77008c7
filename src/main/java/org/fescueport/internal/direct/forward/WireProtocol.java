package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Converts between HTTP messages and the requests and responses that are forwarded. */
public interface WireProtocol {
    /** Thrown for a request that cannot be parsed; the message states the reason. */
    final class BadRequestException extends Exception {
        private static final long serialVersionUID = 1L;

        private BadRequestException(String message) {
            super(message);
        }

        /** Returns an exception with this message. */
        public static BadRequestException of(String message) {
            return new BadRequestException(message);
        }
    }

    /**
     * Parses the head of a caller's request. Takes its headers over: those that are not forwarded
     * are removed from it.
     *
     * @throws BadRequestException if the request violates the protocol
     */
    CallerRequest readRequest(HttpRequest request) throws BadRequestException;

    /** Creates the request to be sent to a replica. */
    FullHttpRequest writeRequest(CallerRequest request, ByteBuf body, Dispatch dispatch);

    /** Parses the head of a replica's response. */
    ResponseHead readResponseHead(HttpResponse response);

    /** Creates the head of the response to be sent to a caller. */
    HttpResponse writeResponseHead(ResponseHead head);

    /** Creates a complete response that this router sends in place of a replica's. */
    FullHttpResponse writeRefusal(Refusal refusal);
}
