package org.fescueport.internal.decision;

/** 128-bit id of a caller's request. All attempts at the request share this id. */
public record RequestId(long high, long low) {
    /** Returns the id with these upper and lower 64 bits. */
    public static RequestId of(long high, long low) {
        return new RequestId(high, low);
    }

    /**
     * Parses an id in the format of {@link #toString()}.
     *
     * @throws IllegalArgumentException if {@code hex} does not consist of 32 hex digits
     */
    public static RequestId parse(String hex) {
        if (hex.length() != 32) {
            throw new IllegalArgumentException("a request id must have 32 hex digits, not: " + hex);
        }
        return of(
                Long.parseUnsignedLong(hex.substring(0, 16), 16),
                Long.parseUnsignedLong(hex.substring(16), 16));
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
