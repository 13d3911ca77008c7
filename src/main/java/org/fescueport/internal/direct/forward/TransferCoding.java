package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** The transfer codings of a message, of which only {@code chunked} by itself is read. */
public final class TransferCoding {
    private static final String CHUNKED = "chunked";

    private TransferCoding() {}

    /** Returns whether the message has no transfer coding, or is chunked and nothing else. */
    public static boolean isReadable(HttpHeaders headers) {
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || (codings.size() == 1 && codings.getFirst().strip().equalsIgnoreCase(CHUNKED));
    }
}
