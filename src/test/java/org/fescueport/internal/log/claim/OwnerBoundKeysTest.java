package org.fescueport.internal.log.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ClaimRefusal;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.claim.StoredAnswer;
import org.fescueport.internal.log.claim.OwnerBoundKeys.Verdict;
import org.fescueport.internal.security.OwnerBoundKey;
import org.junit.jupiter.api.Test;

class OwnerBoundKeysTest {
    private static final ContentHash CONTENT = ContentHash.of(1, 1);
    private static final StoredAnswer ANSWER = StoredAnswer.of(200, "text/plain", new byte[1], 10);

    private final MockClock mClock = new MockClock();
    private final OwnerBoundKeys mKeys = keys(1);
    private final OwnerBoundKey mKey = issue(mKeys).orElseThrow();

    @Test
    void shouldRunOnceAndKeepFirstAnswer() {
        assertThat(mKeys.begin(mKey, CONTENT), instanceOf(Verdict.RunNow.class));
        assertThat(mKeys.begin(mKey, CONTENT), instanceOf(Verdict.RunningOrUnknown.class));
        mKeys.finished(mKey, ANSWER);

        assertThat(mKeys.begin(mKey, CONTENT), is(new Verdict.AlreadyDone(ANSWER)));
        assertThat(
                mKeys.begin(mKey, ContentHash.of(2, 2)),
                is(new Verdict.Refused(ClaimRefusal.OTHER_CONTENT)));
    }

    @Test
    void shouldRefuseInOtherIncarnation() {
        assertThat(keys(2).begin(mKey, CONTENT), is(new Verdict.Refused(ClaimRefusal.OTHER_OWNER)));
    }

    @Test
    void shouldRunAgainOnlyWhenGivenBack() {
        mKeys.begin(mKey, CONTENT);
        mKeys.giveBack(mKey);

        assertThat(mKeys.begin(mKey, CONTENT), instanceOf(Verdict.RunNow.class));
    }

    @Test
    void shouldIssueNoMoreThanItRemembersUntilKeysExpire() {
        issue(mKeys);
        assertThat(issue(mKeys).isEmpty(), is(true));

        mClock.add(100, TimeUnit.MILLISECONDS);

        assertThat(issue(mKeys).isPresent(), is(true));
        assertThat(mKeys.begin(mKey, CONTENT), is(new Verdict.Refused(ClaimRefusal.TOO_OLD)));
    }

    private OwnerBoundKeys keys(long incarnation) {
        return OwnerBoundKeys.create(
                AgentIncarnation.of(NodeId.of("a"), incarnation), "127.0.0.1:1", 2, mClock);
    }

    private static Optional<OwnerBoundKey> issue(OwnerBoundKeys keys) {
        return keys.issue(TeamId.of("dams"), PoolId.of("notices"), "spill", 100);
    }
}
