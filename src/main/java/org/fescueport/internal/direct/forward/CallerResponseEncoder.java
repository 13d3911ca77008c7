package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.function.Supplier;

/**
 * Encodes the responses of one caller's connection. Nothing follows the head of a response that has
 * no body by its status or by the method of its request (RFC 9112, 6.3): the caller would take it
 * for the next response.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private final Supplier<HttpMethod> mMethod;

    /**
     * Creates an encoder for one connection.
     *
     * @param method returns the method of the request that is being answered
     */
    CallerResponseEncoder(Supplier<HttpMethod> method) {
        mMethod = method;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        boolean isFinal = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        return (isFinal && mMethod.get().equals(HttpMethod.HEAD))
                || super.isContentAlwaysEmpty(response);
    }

    @Override
    protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean isAlwaysEmpty) {
        super.sanitizeHeadersBeforeEncode(response, isAlwaysEmpty);
        if (isAlwaysEmpty) {
            // Set for a body whose length is not known, and there is none.
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
    }
}
