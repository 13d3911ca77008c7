package org.fescueport.internal.security;

import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.fescueport.internal.decision.TeamId;

/**
 * Opaque tokens that callers bring back, signed with HMAC-SHA256.
 *
 * <p>A token is base64url of: version, key id, purpose (one byte each), content, and the first 16
 * bytes of the signature over all of these. A token of one purpose never passes for another.
 *
 * <pre>{@code
 * String text = tokens.seal(ticket);
 * Either<TokenRefusal, ChatTicketToken> back = tokens.openChatTicket(text, team, nowMillis);
 * }</pre>
 */
public final class SealedTokens {
    private static final String ALGORITHM = "HmacSHA256";
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 3;
    private static final int SIGNATURE_BYTES = 16;
    private static final int MAX_TEXT_CHARS =
            (TokenCodec.MAX_BYTES + HEADER_BYTES + SIGNATURE_BYTES) * 4 / 3 + 4;

    private enum Purpose {
        CHAT_TICKET,
        RESUME,
        OWNER_BOUND_KEY;

        private byte code() {
            return (byte) (ordinal() + 1);
        }
    }

    private record Signer(Mac prototype, long acceptedUntilMillis) {
        private byte[] sign(byte[] data, int length) {
            try {
                Mac mac = (Mac) prototype.clone();
                mac.update(data, 0, length);
                return Arrays.copyOf(mac.doFinal(), SIGNATURE_BYTES);
            } catch (CloneNotSupportedException e) {
                throw new IllegalStateException(ALGORITHM + " of this JDK cannot be cloned", e);
            }
        }
    }

    /** Who signs, and the keys by id. */
    private record Signers(int signing, Map<Integer, Signer> byId) {
        private static Signers of(TokenKeyRing ring) {
            var byId = new HashMap<Integer, Signer>();
            ring.keys().forEach(key -> byId.put(key.id(), signer(key)));
            return new Signers(ring.keys().getFirst().id(), Map.copyOf(byId));
        }
    }

    private volatile Signers mSigners;

    private SealedTokens(TokenKeyRing ring) {
        mSigners = Signers.of(ring);
    }

    /** Returns the tokens of a fleet with this key ring. */
    public static SealedTokens of(TokenKeyRing ring) {
        return new SealedTokens(ring);
    }

    /** Signs and checks with these keys from now on. */
    void use(TokenKeyRing ring) {
        mSigners = Signers.of(ring);
    }

    /** Returns the token's text. */
    public String seal(ChatTicketToken token) {
        return seal(Purpose.CHAT_TICKET, TokenCodec.encode(token));
    }

    /** Returns the token's text. */
    public String seal(ResumeToken token) {
        return seal(Purpose.RESUME, TokenCodec.encode(token));
    }

    /** Returns the key's text. */
    public String seal(OwnerBoundKey key) {
        return seal(Purpose.OWNER_BOUND_KEY, TokenCodec.encode(key));
    }

    /** Opens a chat ticket that this team brings back. */
    public Either<TokenRefusal, ChatTicketToken> openChatTicket(
            String text, TeamId team, long nowMillis) {
        return open(text, Purpose.CHAT_TICKET, nowMillis, TokenCodec::chatTicket)
                .flatMap(t -> check(t, t.team(), team, t.expiresAtMillis(), nowMillis));
    }

    /** Opens a resume token that this team brings back. */
    public Either<TokenRefusal, ResumeToken> openResume(String text, TeamId team, long nowMillis) {
        return open(text, Purpose.RESUME, nowMillis, TokenCodec::resume)
                .flatMap(t -> check(t, t.team(), team, t.expiresAtMillis(), nowMillis));
    }

    /** Opens an owner-bound idempotency key that this team brings back. */
    public Either<TokenRefusal, OwnerBoundKey> openOwnerBoundKey(
            String text, TeamId team, long nowMillis) {
        return open(text, Purpose.OWNER_BOUND_KEY, nowMillis, TokenCodec::ownerBoundKey)
                .flatMap(t -> check(t, t.team(), team, t.expiresAtMillis(), nowMillis));
    }

    private static <T> Either<TokenRefusal, T> check(
            T token, TeamId owner, TeamId team, long expiresAtMillis, long nowMillis) {
        if (!owner.equals(team)) {
            return Either.left(TokenRefusal.OTHER_TEAM);
        }
        return nowMillis >= expiresAtMillis
                ? Either.left(TokenRefusal.EXPIRED)
                : Either.right(token);
    }

    private String seal(Purpose purpose, byte[] content) {
        var signers = mSigners;
        int signed = HEADER_BYTES + content.length;
        byte[] token = new byte[signed + SIGNATURE_BYTES];
        token[0] = VERSION;
        token[1] = (byte) signers.signing();
        token[2] = purpose.code();
        System.arraycopy(content, 0, token, HEADER_BYTES, content.length);
        byte[] signature = signers.byId().get(signers.signing()).sign(token, signed);
        System.arraycopy(signature, 0, token, signed, SIGNATURE_BYTES);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(token);
    }

    private <T> Either<TokenRefusal, T> open(
            String text, Purpose purpose, long nowMillis, Function<ByteBuffer, T> decoder) {
        byte[] token = decode(text);
        if (token.length < HEADER_BYTES + SIGNATURE_BYTES || token[0] != VERSION) {
            return Either.left(TokenRefusal.MALFORMED);
        }
        Signer signer = mSigners.byId().get(Byte.toUnsignedInt(token[1]));
        if (signer == null || nowMillis >= signer.acceptedUntilMillis()) {
            return Either.left(TokenRefusal.UNKNOWN_KEY);
        }
        int signed = token.length - SIGNATURE_BYTES;
        byte[] signature = Arrays.copyOfRange(token, signed, token.length);
        if (!MessageDigest.isEqual(signer.sign(token, signed), signature)) {
            return Either.left(TokenRefusal.FORGED);
        }
        if (token[2] != purpose.code()) {
            return Either.left(TokenRefusal.OTHER_PURPOSE);
        }
        return content(ByteBuffer.wrap(token, HEADER_BYTES, signed - HEADER_BYTES), decoder);
    }

    private static <T> Either<TokenRefusal, T> content(
            ByteBuffer in, Function<ByteBuffer, T> decoder) {
        try {
            T token = decoder.apply(in);
            return in.hasRemaining() ? Either.left(TokenRefusal.MALFORMED) : Either.right(token);
        } catch (BufferUnderflowException e) {
            return Either.left(TokenRefusal.MALFORMED);
        }
    }

    private static byte[] decode(String text) {
        if (text.length() > MAX_TEXT_CHARS) {
            return new byte[0];
        }
        try {
            return Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return new byte[0];
        }
    }

    private static Signer signer(TokenKey key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
            return new Signer(mac, key.acceptedUntilMillis());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this JDK has no " + ALGORITHM, e);
        }
    }
}
