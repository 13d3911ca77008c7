package org.fescueport.internal.direct.state;

import java.util.Arrays;
import java.util.Optional;

/**
 * One undecoded record of a topic.
 *
 * @param position position in the topic; later records of a key replace earlier ones
 * @param value empty if the key was removed
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

    /** Returns the record with no more than the first bytes of its value. */
    public StateRecord truncated(int maxBytes) {
        boolean fits = value.isEmpty() || value.get().length <= maxBytes;
        return fits ? this : set(position, key, Arrays.copyOf(value.get(), maxBytes));
    }

    /** Returns the same key and value at another position. */
    public StateRecord at(StorePosition other) {
        return new StateRecord(other, key, value);
    }
}
