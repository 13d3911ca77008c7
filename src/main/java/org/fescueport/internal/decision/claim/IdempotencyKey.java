package org.fescueport.internal.decision.claim;

import io.vavr.control.Either;
import java.util.UUID;

/**
 * An idempotency key chosen by the caller. It is a version 7 UUID, which contains the time of its
 * creation.
 *
 * <p>Keys are ordered by this time.
 */
public record IdempotencyKey(long high, long low) implements Comparable<IdempotencyKey> {
    private static final int TEXT_LENGTH = 36;
    private static final int TIME_SHIFT = 16;
    private static final int VERSION = 7;
    private static final int RFC_VARIANT = 2;

    /** Returns the key with these upper and lower 64 bits, which are not validated. */
    public static IdempotencyKey of(long high, long low) {
        return new IdempotencyKey(high, low);
    }

    /** Parses a version 7 UUID in the standard text form of 36 characters. */
    public static Either<KeyRefusal, IdempotencyKey> parse(String text) {
        if (text.length() != TEXT_LENGTH) {
            return Either.left(KeyRefusal.NOT_UUID_V7);
        }
        try {
            UUID uuid = UUID.fromString(text);
            boolean isUuidV7 = uuid.version() == VERSION && uuid.variant() == RFC_VARIANT;
            return isUuidV7
                    ? Either.right(
                            of(uuid.getMostSignificantBits(), uuid.getLeastSignificantBits()))
                    : Either.left(KeyRefusal.NOT_UUID_V7);
        } catch (IllegalArgumentException e) {
            return Either.left(KeyRefusal.NOT_UUID_V7);
        }
    }

    /** Returns the wall time in the key, in milliseconds since the epoch. */
    public long millis() {
        return high >>> TIME_SHIFT;
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        int byHigh = Long.compareUnsigned(high, other.high);
        return byHigh != 0 ? byHigh : Long.compareUnsigned(low, other.low);
    }

    @Override
    public String toString() {
        return new UUID(high, low).toString();
    }
}
