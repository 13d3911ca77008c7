package org.fescueport.internal.direct;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Headers of requests to the admin address, of which there may be only few. */
final class FewHeaders extends DefaultHttpHeaders {
    /** Several times what the platform and the usual clients send. */
    private static final int MAX_LINES = 100;

    private static final HttpHeadersFactory FACTORY =
            new HttpHeadersFactory() {
                @Override
                public HttpHeaders newHeaders() {
                    return new FewHeaders();
                }

                @Override
                public HttpHeaders newEmptyHeaders() {
                    return newHeaders();
                }
            };

    private int mLines;

    private FewHeaders() {}

    /** Returns the configuration of a decoder that reads such headers and trailers. */
    static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig().setHeadersFactory(FACTORY).setTrailersFactory(FACTORY);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        mLines++;
        if (mLines > MAX_LINES) {
            throw new TooLongHttpHeaderException("more than " + MAX_LINES + " header lines");
        }
        return super.add(name, value);
    }
}
