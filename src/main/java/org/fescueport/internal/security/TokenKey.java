package org.fescueport.internal.security;

import java.util.Base64;

/**
 * A secret that signs tokens.
 *
 * @param id number in the token, 0 to 255, by which the key is found again
 * @param secret at least {@link #MIN_SECRET_BYTES} bytes
 * @param acceptedUntilMillis wall time until which tokens signed with it are accepted
 */
public record TokenKey(int id, byte[] secret, long acceptedUntilMillis) {
    /** Length below which a secret is refused. */
    public static final int MIN_SECRET_BYTES = 32;

    public TokenKey {
        if (id < 0 || id > 255) {
            throw new IllegalArgumentException("a token key's id is 0 to 255, not " + id);
        }
        if (secret.length < MIN_SECRET_BYTES) {
            throw new IllegalArgumentException(
                    "the secret of token key %d has %d bytes; give at least %d"
                            .formatted(id, secret.length, MIN_SECRET_BYTES));
        }
        secret = secret.clone();
    }

    /** Returns this key with an end, unless its own is earlier. */
    TokenKey until(long endMillis) {
        return new TokenKey(id, secret, Math.min(endMillis, acceptedUntilMillis));
    }

    /** Parses {@code ID:SECRET} or {@code ID:SECRET@MILLIS}, the secret in base64url. */
    public static TokenKey parse(String text) {
        int colon = text.indexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("a token key is written ID:SECRET[@MILLIS]");
        }
        int at = text.indexOf('@', colon);
        String secret = text.substring(colon + 1, at < 0 ? text.length() : at);
        long until = at < 0 ? Long.MAX_VALUE : Long.parseLong(text.substring(at + 1));
        int id = parseId(text.substring(0, colon));
        return new TokenKey(id, Base64.getUrlDecoder().decode(secret), until);
    }

    private static int parseId(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "a token key's id is a number from 0 to 255, not \"" + text + "\"", e);
        }
    }

    @Override
    public byte[] secret() {
        return secret.clone();
    }

    /** Returns the key without its secret. */
    @Override
    public String toString() {
        return "TokenKey[id=" + id + "]";
    }
}
