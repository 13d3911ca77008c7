package org.fescueport.internal.decision;

/** 128-bit id of a caller's request; each attempt at it carries the same id. */
public record RequestId(long high, long low) {
    /** Returns the id with these halves. */
    public static RequestId of(long high, long low) {
        return new RequestId(high, low);
    }

    /** Parses the form that {@link #toString()} gives. */
    public static RequestId parse(String hex) {
        if (hex.length() != 32) {
            throw new IllegalArgumentException("a request id has 32 hex digits, not: " + hex);
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
