package org.fescueport.internal.security;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vavr.control.Either;
import java.util.Base64;
import java.util.List;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.junit.jupiter.api.Test;

class SealedTokensTest {
    private static final TeamId TEAM = TeamId.of("dams");
    private static final AgentIncarnation AGENT = AgentIncarnation.of(NodeId.of("vm-7"), 42);
    private static final ResumeToken RESUME =
            new ResumeToken(
                    TEAM, AttemptId.of(RequestId.of(5, 6), 2), AGENT, "127.0.0.1:4000", 1000);
    private static final ChatTicketToken TICKET =
            new ChatTicketToken(
                    TEAM, ChatId.of("c-1"), PoolId.of("summaries"), AGENT, 77, 900, 1000);
    private static final OwnerBoundKey OWNED =
            new OwnerBoundKey(TEAM, PoolId.of("notices"), "spill", AGENT, "127.0.0.1:4000", 3, 9);

    private final TokenKey mOld = new TokenKey(1, new byte[32], 500);
    private final TokenKey mNew = new TokenKey(2, "0123456789abcdef".repeat(2).getBytes(), 2000);
    private final SealedTokens mTokens = SealedTokens.of(TokenKeyRing.of(List.of(mNew, mOld)));

    @Test
    void shouldOpenWhatItSealed() {
        assertThat(mTokens.openResume(mTokens.seal(RESUME), TEAM, 1), is(Either.right(RESUME)));
        assertThat(mTokens.openChatTicket(mTokens.seal(TICKET), TEAM, 1), is(Either.right(TICKET)));
        assertThat(
                mTokens.openOwnerBoundKey(mTokens.seal(OWNED), TEAM, 1), is(Either.right(OWNED)));
    }

    @Test
    void shouldRefuseEveryChangedBit() {
        byte[] token = Base64.getUrlDecoder().decode(mTokens.seal(RESUME));
        for (int bit = 0; bit < token.length * 8; bit++) {
            byte[] changed = token.clone();
            changed[bit / 8] ^= (byte) (1 << bit % 8);
            String text = Base64.getUrlEncoder().withoutPadding().encodeToString(changed);
            assertThat("bit " + bit, mTokens.openResume(text, TEAM, 1).isLeft(), is(true));
        }
    }

    @Test
    void shouldRefuseOtherTeamOtherPurposeAndExpired() {
        String text = mTokens.seal(RESUME);

        assertRefused(mTokens.openResume(text, TeamId.of("x"), 1), TokenRefusal.OTHER_TEAM);
        assertRefused(mTokens.openChatTicket(text, TEAM, 1), TokenRefusal.OTHER_PURPOSE);
        assertRefused(mTokens.openResume(text, TEAM, 1000), TokenRefusal.EXPIRED);
        assertRefused(mTokens.openResume("no token!", TEAM, 1), TokenRefusal.MALFORMED);
    }

    @Test
    void shouldAcceptOldKeyUntilItsEnd() {
        String text = SealedTokens.of(TokenKeyRing.of(List.of(mOld))).seal(RESUME);

        assertThat(mTokens.openResume(text, TEAM, 499).isRight(), is(true));
        assertRefused(mTokens.openResume(text, TEAM, 500), TokenRefusal.UNKNOWN_KEY);
    }

    @Test
    void shouldRefuseTokenOfAnotherFleet() {
        TokenKey other = new TokenKey(2, "fedcba9876543210".repeat(2).getBytes(), 2000);
        String text = SealedTokens.of(TokenKeyRing.of(List.of(other))).seal(RESUME);

        assertRefused(mTokens.openResume(text, TEAM, 1), TokenRefusal.FORGED);
    }

    @Test
    void shouldParseRingAndHideSecrets() {
        String secret = Base64.getUrlEncoder().encodeToString(new byte[32]);
        TokenKeyRing ring = TokenKeyRing.parse("2:" + secret + ",1:" + secret + "@77");

        assertThat(ring.keys().get(1).acceptedUntilMillis(), is(77L));
        assertThat(ring.keys().getFirst().toString(), is("TokenKey[id=2]"));
        assertThrows(IllegalArgumentException.class, () -> TokenKey.parse("1:c2hvcnQ="));
    }

    private static void assertRefused(Either<TokenRefusal, ?> opened, TokenRefusal refusal) {
        assertThat(opened.isLeft() ? opened.getLeft() : null, is(refusal));
    }
}
