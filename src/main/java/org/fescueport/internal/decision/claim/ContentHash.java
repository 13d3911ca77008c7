package org.fescueport.internal.decision.claim;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The first 128 bits of the SHA-256 hash of a request's content. */
public record ContentHash(long high, long low) {
    /** Returns the hash with these upper and lower 64 bits. */
    public static ContentHash of(long high, long low) {
        return new ContentHash(high, low);
    }

    /** Returns the hash of {@code content}. */
    public static ContentHash of(byte[] content) {
        try {
            ByteBuffer hash = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(content));
            return of(hash.getLong(), hash.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this JDK has no SHA-256", e);
        }
    }
}
