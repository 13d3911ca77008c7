package org.fescueport.internal.direct.config;

/** A caller's secret; never logged. */
public record ApiKey(String secret) {
    /** Returns the value for this secret. */
    public static ApiKey of(String secret) {
        return new ApiKey(secret);
    }

    @Override
    public String toString() {
        return "ApiKey(hidden)";
    }
}
