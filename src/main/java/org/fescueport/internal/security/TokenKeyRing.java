package org.fescueport.internal.security;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.TokenKeyDeclaration;

/**
 * The keys of a fleet: the first signs, the others are still accepted.
 *
 * <p>Declarations say who signs, see {@link #under}; without them it is the order of the ring.
 *
 * <pre>{@code
 * TokenKeyRing ring = TokenKeyRing.parse("2:b3...k,1:Zq...8@1796000000000");
 * }</pre>
 */
public final class TokenKeyRing {
    private final List<TokenKey> mKeys;

    private TokenKeyRing(List<TokenKey> keys) {
        mKeys = List.copyOf(keys);
    }

    /** Returns the ring of these keys; the first one signs. */
    public static TokenKeyRing of(List<TokenKey> keys) {
        Map<Integer, TokenKey> byId = new HashMap<>();
        for (TokenKey key : keys) {
            if (byId.put(key.id(), key) != null) {
                throw new IllegalArgumentException("two token keys have the id " + key.id());
            }
        }
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("a key ring needs a key that signs");
        }
        return new TokenKeyRing(keys);
    }

    /** Parses keys separated by commas or white space; see {@link TokenKey#parse}. */
    public static TokenKeyRing parse(String text) {
        return of(Arrays.stream(text.strip().split("[,\\s]+")).map(TokenKey::parse).toList());
    }

    /** Returns whether the ring has the key of this id. */
    boolean has(int id) {
        return mKeys.stream().anyMatch(key -> key.id() == id);
    }

    /**
     * Returns the keys that declarations leave in force, the signing one first.
     *
     * <p>Of the keys that a declaration doesn't name, those with a greater id than the signing one
     * are accepted: they were given out to sign next, and another node may do so already. A node
     * without the signing key signs with the former key that is accepted longest.
     */
    TokenKeyRing under(TokenKeyDeclaration declared) {
        var former =
                mKeys.stream()
                        .filter(key -> declared.acceptedUntilMillis().containsKey(key.id()))
                        .map(key -> key.until(declared.acceptedUntilMillis().get(key.id())))
                        .sorted(Comparator.comparingLong(TokenKey::acceptedUntilMillis).reversed());
        var keys = new ArrayList<TokenKey>();
        mKeys.stream().filter(key -> key.id() == declared.signs()).forEach(keys::add);
        former.forEach(keys::add);
        mKeys.stream()
                .filter(key -> key.id() > declared.signs())
                .filter(key -> !declared.acceptedUntilMillis().containsKey(key.id()))
                .forEach(keys::add);
        return keys.isEmpty() ? this : new TokenKeyRing(keys);
    }

    List<TokenKey> keys() {
        return mKeys;
    }
}
