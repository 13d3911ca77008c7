package org.fescueport.internal.router;

/** A request that a router answers itself with an error, without running it. */
final class RequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int mStatus;
    private final String mType;

    private RequestException(int status, String type, String message) {
        super(message);
        mStatus = status;
        mType = type;
    }

    static RequestException invalid(String message) {
        return new RequestException(400, "invalid_request", message);
    }

    static RequestException unauthorized(String message) {
        return new RequestException(401, "unauthorized", message);
    }

    static RequestException forbidden(String message) {
        return new RequestException(403, "forbidden", message);
    }

    static RequestException notFound(String message) {
        return new RequestException(404, "not_found", message);
    }

    int status() {
        return mStatus;
    }

    String type() {
        return mType;
    }
}
