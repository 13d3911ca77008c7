package org.fescueport.internal.decision.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ClaimRecord.Claim;
import org.fescueport.internal.decision.claim.ClaimRecord.Finished;
import org.fescueport.internal.decision.claim.ClaimRecord.GivenBack;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ClaimFoldTest {
    private static final long SKEW_MILLIS = 10;
    private static final StoredAnswer ANSWER = StoredAnswer.of(200, "text/plain", new byte[1], 10);

    private record Appended(long millis, ClaimRecord record) {}

    private final ClaimFold mFold = ClaimFold.create(100, SKEW_MILLIS);

    ClaimFoldTest() {
        mFold.beginAtOrigin();
    }

    @ParameterizedTest
    @CsvSource({
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398f, 1645557742000",
        "017F22E2-79B0-7CC3-98C4-DC0C0C07398F, 1645557742000"
    })
    void shouldReadTimeOfUuidV7(String text, long millis) {
        assertThat(IdempotencyKey.parse(text).get().millis(), is(millis));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
                "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
                "017f22e279b07cc398c4dc0c0c07398f",
                "1-1-7cc3-98c4-000000000000dc0c0c07398",
                "zzzzzzzz-79b0-7cc3-98c4-dc0c0c07398f"
            })
    void shouldRefuseOtherTextForms(String text) {
        assertThat(IdempotencyKey.parse(text).getLeft(), is(KeyRefusal.NOT_UUID_V7));
    }

    @Test
    void shouldIgnoreSecondCopyOfClaimAfterItWasGivenBack() {
        Claim first = claim(100, 1);
        mFold.apply(0, 100, first);
        mFold.apply(1, 101, new GivenBack(first.key(), first.nonce()));
        mFold.apply(2, 102, first);
        Claim second = claim(100, 2);
        mFold.apply(3, 103, second);

        assertThat(mFold.verdict(second), instanceOf(ClaimVerdict.Won.class));
        assertThat(mFold.verdict(first), instanceOf(ClaimVerdict.Refused.class));
    }

    @Test
    void shouldVoidClaimAppendedAfterItsValidity() {
        Claim late = claim(100, 1);
        mFold.apply(0, late.validUntilMillis() + 1, late);
        Claim next = claim(100, 2);
        mFold.apply(1, 150, next);

        assertThat(mFold.verdict(next), instanceOf(ClaimVerdict.Won.class));
    }

    @Test
    void shouldReturnNoVerdictForUnreadClaim() {
        assertThat(mFold.verdict(claim(100, 1)), is(nullValue()));
    }

    @Test
    void shouldRefuseOldKeysWhenFull() {
        for (int i = 0; i < 150; i++) {
            mFold.apply(i, 1000 + i, claim(1000 + i, i));
        }

        assertThat(mFold.size(), is(100));
        assertThat(mFold.canDecide(claim(1000, 0).key()), is(false));
        assertThat(mFold.verdict(claim(1000, 0)), instanceOf(ClaimVerdict.Refused.class));
    }

    /**
     * A fold that starts at a later offset either refuses a key or gives the same verdict as one
     * that read the whole stream.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldGiveSameVerdictFromAnyStartOffset(long seed) {
        List<Appended> stream = randomStream(new Random(seed));
        apply(mFold, stream, 0);
        int compared = 0;
        for (int start = 1; start < stream.size(); start += 7) {
            ClaimFold later = ClaimFold.create(100, SKEW_MILLIS);
            later.beginAt(stream.get(start).millis(), start);
            apply(later, stream, start);
            for (Appended appended : stream.subList(start, stream.size())) {
                if (appended.record() instanceof Claim claim && later.canDecide(claim.key())) {
                    assertThat(later.verdict(claim), is(mFold.verdict(claim)));
                    compared++;
                }
            }
        }
        assertThat(compared, greaterThan(100));
    }

    private static List<Appended> randomStream(Random random) {
        List<Appended> stream = new ArrayList<>();
        List<Claim> claims = new ArrayList<>();
        long now = 1000;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(3);
            int kind = claims.isEmpty() ? 0 : random.nextInt(6);
            if (kind < 4) {
                Claim claim = claim(now - random.nextInt(30), i);
                claims.add(claim);
                stream.add(new Appended(now, claim));
                continue;
            }
            Claim ended = claims.remove(random.nextInt(claims.size()));
            stream.add(new Appended(now, end(kind, ended)));
        }
        return stream;
    }

    private static ClaimRecord end(int kind, Claim ended) {
        return kind == 4
                ? new GivenBack(ended.key(), ended.nonce())
                : new Finished(ended.key(), ended.nonce(), ANSWER);
    }

    private static void apply(ClaimFold fold, List<Appended> stream, int from) {
        for (int i = from; i < stream.size(); i++) {
            fold.apply(i, stream.get(i).millis(), stream.get(i).record());
        }
        assertThat(fold.size(), lessThanOrEqualTo(100));
    }

    private static Claim claim(long millis, int nonce) {
        return new Claim(
                IdempotencyKey.of(millis << 16 | 0x7000, 1L << 63),
                ClaimNonce.of(7, nonce),
                TeamId.of("dams"),
                "spill",
                ContentHash.of(1, 1),
                AgentIncarnation.of(NodeId.of("a"), 1),
                millis + 100);
    }
}
