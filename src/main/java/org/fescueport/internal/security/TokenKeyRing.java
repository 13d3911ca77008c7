package org.fescueport.internal.security;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The keys of a fleet: the first signs, the others are still accepted.
 *
 * <p>To change the key, put the new one behind the old one everywhere, then in front everywhere,
 * then give the old one an end.
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

    /** Parses keys separated by commas; see {@link TokenKey#parse}. */
    public static TokenKeyRing parse(String text) {
        return of(Arrays.stream(text.split(",")).map(TokenKey::parse).toList());
    }

    List<TokenKey> keys() {
        return mKeys;
    }
}
