package org.fescueport.internal.direct.state;

import java.util.Optional;

/**
 * One record of a topic as the store holds it, not decoded.
 *
 * @param offset place in the topic's order; later records of a key replace earlier ones
 * @param value absent where the key was removed
 */
public record StateRecord(long offset, String key, Optional<byte[]> value) {
    /** Returns a record that sets the key. */
    public static StateRecord set(long offset, String key, byte[] value) {
        return new StateRecord(offset, key, Optional.of(value));
    }

    /** Returns a record that removes the key. */
    public static StateRecord removed(long offset, String key) {
        return new StateRecord(offset, key, Optional.empty());
    }
}
