package org.fescueport.internal.security;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.TokenKeyDeclaration;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TokenKeysTest {
    private static final TeamId TEAM = TeamId.of("dams");
    private static final AgentIncarnation AGENT = AgentIncarnation.of(NodeId.of("vm-7"), 42);
    private static final long NEVER = Long.MAX_VALUE;
    private static final ChatTicketToken TICKET =
            new ChatTicketToken(
                    TEAM, ChatId.of("c-1"), PoolId.of("summaries"), AGENT, 77, 900, NEVER);
    private static final OwnerBoundKey OWNED =
            new OwnerBoundKey(
                    TEAM, PoolId.of("notices"), "spill", AGENT, "127.0.0.1:4000", 3, NEVER);
    private static final String KEY_1 = "1:MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY";
    private static final String KEY_2 = "2:ZmVkY2JhOTg3NjU0MzIxMGZlZGNiYTk4NzY1NDMyMTA";
    private static final String BOTH = KEY_1 + "\n" + KEY_2 + "\n";
    private static final long END = 5000;

    @TempDir private Path mFolder;
    private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    private Path mFile;
    private TokenKeys mKeys;

    @BeforeEach
    void startWithTheOldKey() throws Exception {
        mFile = mFolder.resolve("keys");
        Files.writeString(mFile, KEY_1);
        mKeys = TokenKeys.create(Optional.of(mFile), KEY_1, mMeters);
    }

    @Test
    void shouldAcceptWhatTheOldKeySignedUntilItsEndAndRefuseItAfter() throws Exception {
        var ticket = mKeys.tokens().seal(TICKET);
        var owned = mKeys.tokens().seal(OWNED);

        write(BOTH);
        mKeys.use(declared(2, Map.of(1, END)));

        assertThat(signing(), is(2.0));
        assertThat(opensTicket(ticket, END - 1), is(true));
        assertThat(opensOwned(owned, END - 1), is(true));
        assertThat(opensTicket(ticket, END), is(false));
        assertThat(opensOwned(owned, END), is(false));
        assertThat(opensTicket(mKeys.tokens().seal(TICKET), END), is(true));
    }

    @Test
    void shouldAcceptTheNextKeyBeforeItsDeclarationIsKnownHere() throws Exception {
        mKeys.use(declared(1, Map.of()));
        write(BOTH);
        var other = TokenKeys.create(Optional.empty(), BOTH, new SimpleMeterRegistry());
        other.use(declared(2, Map.of(1, END)));

        assertThat(signing(), is(1.0));
        assertThat(opensTicket(other.tokens().seal(TICKET), 1), is(true));
    }

    @Test
    void shouldRefuseAFormerKeyThatIsNotDeclared() throws Exception {
        var ticket = mKeys.tokens().seal(TICKET);

        write(BOTH);
        mKeys.use(declared(2, Map.of()));

        assertThat(opensTicket(ticket, 1), is(false));
    }

    @Test
    void shouldGoOnWithTheFormerKeyAndTellWhenTheNewOneIsNotHere() throws Exception {
        mKeys.use(declared(2, Map.of(1, END)));

        assertThat(signing(), is(1.0));
        assertThat(mMeters.get("token_key_missing").gauge().value(), is(1.0));
        write(BOTH);
        assertThat(signing(), is(2.0));
        assertThat(mMeters.get("token_key_missing").gauge().value(), is(0.0));
    }

    @Test
    void shouldKeepTheFormerKeysWhileTheFileIsBad() throws Exception {
        var ticket = mKeys.tokens().seal(TICKET);

        write("1:short");
        mKeys.look();

        assertThat(opensTicket(ticket, 1), is(true));
        assertThat(mMeters.get("token_key_file_refused").gauge().value(), is(1.0));
        var refused = mMeters.get("token_key_renewals").tag("result", "refused").counter();
        assertThat(refused.count(), is(1.0));
    }

    private void write(String keys) throws Exception {
        Files.writeString(mFile, keys);
        mKeys.look();
    }

    private boolean opensTicket(String text, long nowMillis) {
        return mKeys.tokens().openChatTicket(text, TEAM, nowMillis).isRight();
    }

    private boolean opensOwned(String text, long nowMillis) {
        return mKeys.tokens().openOwnerBoundKey(text, TEAM, nowMillis).isRight();
    }

    private double signing() {
        return mMeters.get("token_key_signing").gauge().value();
    }

    private static Declarations declared(int signs, Map<Integer, Long> accepted) {
        var keys = new TokenKeyDeclaration(signs, accepted);
        return Declarations.of(1, Map.of(), Map.of(), Map.of(), Optional.of(keys));
    }
}
