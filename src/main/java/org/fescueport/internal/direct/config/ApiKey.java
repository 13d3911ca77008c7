package org.fescueport.internal.direct.config;

/** A caller's secret; must never be logged. */
public record ApiKey(String secret) {
    /** Returns the API key with this secret. */
    public static ApiKey of(String secret) {
        return new ApiKey(secret);
    }

    @Override
    public String toString() {
        return "ApiKey(hidden)";
    }
}
