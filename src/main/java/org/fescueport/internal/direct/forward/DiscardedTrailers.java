package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** The lines after a chunked body. They are not forwarded, so none is kept. */
final class DiscardedTrailers extends DefaultHttpHeaders {
    /** Creates the trailers of requests. */
    static final HttpHeadersFactory FACTORY =
            new HttpHeadersFactory() {
                @Override
                public HttpHeaders newHeaders() {
                    return new DiscardedTrailers();
                }

                @Override
                public HttpHeaders newEmptyHeaders() {
                    return newHeaders();
                }
            };

    private DiscardedTrailers() {}

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }
}
