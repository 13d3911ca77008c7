package org.fescueport.internal.decision.claim;

import io.vavr.control.Either;
import java.util.UUID;

/**
 * An idempotency key that the caller chose: a UUID of version 7, so that it carries its time.
 *
 * <p>Keys are ordered by their time.
 */
public record IdempotencyKey(long high, long low) implements Comparable<IdempotencyKey> {
    private static final int TEXT_CHARS = 36;
    private static final int TIME_SHIFT = 16;
    private static final int VERSION = 7;
    private static final int RFC_VARIANT = 2;

    /** Returns the key with these halves, which were checked before. */
    public static IdempotencyKey of(long high, long low) {
        return new IdempotencyKey(high, low);
    }

    /** Parses the usual text form of a UUID of version 7. */
    public static Either<KeyRefusal, IdempotencyKey> parse(String text) {
        if (text.length() != TEXT_CHARS) {
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

    /** Returns the wall time that the key carries. */
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
