package org.fescueport.internal.http;

import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.NotImplementedException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.UnsupportedHttpVersionException;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Stands for a head that is not a request of HTTP, so that an exchange answers it like any other.
 *
 * <p>HttpCore itself answers such heads in plain text.
 */
final class RefusedHead extends BasicHttpRequest {
    /** Why a head is refused, as its sender is told. */
    record Reason(int status, String type, String message) {
        static final Reason TOO_LARGE =
                new Reason(431, "headers_too_large", "The headers are too large.");

        static Reason of(HttpException failure) {
            return switch (failure) {
                case RequestHeaderFieldsTooLargeException ignored -> TOO_LARGE;
                case UnsupportedHttpVersionException ignored ->
                        new Reason(505, "http_version_not_supported", failure.getMessage() + ".");
                case NotImplementedException ignored ->
                        new Reason(501, "not_implemented", failure.getMessage() + ".");
                default ->
                        new Reason(
                                400,
                                "malformed_request",
                                "This is not a request of HTTP/1.1: " + failure.getMessage() + ".");
            };
        }
    }

    private final transient Reason mReason;

    RefusedHead(Reason reason) {
        super("GET", "/");
        mReason = reason;
    }

    Reason reason() {
        return mReason;
    }
}
