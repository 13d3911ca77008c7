package org.fescueport.internal.direct.state;

import java.util.Optional;

/**
 * One record of a topic as the store holds it, not decoded.
 *
 * @param position place in the topic's order; later records of a key replace earlier ones
 * @param value absent where the key was removed
 */
public record StateRecord(StorePosition position, String key, Optional<byte[]> value) {
    /** Returns a record that sets the key. */
    public static StateRecord set(StorePosition position, String key, byte[] value) {
        return new StateRecord(position, key, Optional.of(value));
    }

    /** Returns a record that removes the key. */
    public static StateRecord removed(StorePosition position, String key) {
        return new StateRecord(position, key, Optional.empty());
    }

    /** Returns the same words at another place. */
    public StateRecord at(StorePosition other) {
        return new StateRecord(other, key, value);
    }
}
