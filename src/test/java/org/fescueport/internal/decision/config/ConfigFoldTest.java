package org.fescueport.internal.decision.config;

import static org.fescueport.internal.decision.config.ConfigRecords.change;
import static org.fescueport.internal.decision.config.ConfigRecords.model;
import static org.fescueport.internal.decision.config.ConfigRecords.removal;
import static org.fescueport.internal.decision.config.ConfigRecords.teams;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;

class ConfigFoldTest {
    private static final String HASH = "a".repeat(64);

    private final ConfigFold mFold = ConfigFold.empty();

    @Test
    void shouldAcceptChangeBasedOnCurrentVersion() {
        assertThat(mFold.apply(1, change(0, model("a", 1), 1)), is(new Verdict.Accepted(1)));
        assertThat(mFold.apply(5, change(1, model("a", 2), 2)), is(new Verdict.Accepted(5)));
        assertThat(mFold.declarations().version(), is(5L));
        assertThat(mFold.declarations().models().get("a").replicas(), is(2));
    }

    @Test
    void shouldReportCurrentVersionForChangeBasedOnAnOlderOne() {
        mFold.apply(1, change(0, model("a", 1), 1));
        assertThat(mFold.apply(2, change(0, model("a", 9), 2)), is(new Verdict.Lost(1)));
        assertThat(mFold.declarations().models().get("a").replicas(), is(1));
        assertThat(mFold.counts(), is(new VerdictCounts(1, 1, 0, 0)));
    }

    @Test
    void shouldKeepVersionOfRemovedFileToRejectStaleCreation() {
        mFold.apply(1, change(0, model("a", 1), 1));
        mFold.apply(2, removal(1, "a"));
        assertThat(mFold.apply(3, change(0, model("a", 9), 2)), is(new Verdict.Lost(2)));
        assertThat(mFold.declarations().models(), is(Map.of()));
        assertThat(mFold.apply(4, change(2, model("a", 3), 3)), is(new Verdict.Accepted(4)));
    }

    @Test
    void shouldRefuseDuplicatePoolsTeamsAndKeys() {
        mFold.apply(1, change(0, model("a", "shared", 1), 1));
        mFold.apply(2, change(0, teams("north", "boards", HASH), 2));
        var pool = mFold.apply(3, change(0, model("b", "shared", 1), 3));
        var team = mFold.apply(4, change(0, teams("south", "boards", "b".repeat(64)), 4));
        var key = mFold.apply(5, change(0, teams("south", "garages", HASH), 5));
        assertThat(pool, is(instanceOf(Verdict.Refused.class)));
        assertThat(team, is(instanceOf(Verdict.Refused.class)));
        assertThat(key, is(instanceOf(Verdict.Refused.class)));
        mFold.apply(6, change(1, model("a", "other", 1), 6));
        assertThat(
                mFold.apply(7, change(0, model("b", "shared", 1), 7)), is(new Verdict.Accepted(7)));
    }

    @Test
    void shouldSkipAndCountUnreadableRecords() {
        mFold.apply(1, new ConfigRecord.Unreadable("noise", false));
        assertThat(mFold.counts().unreadable(), is(1L));
        assertThat(mFold.hasSeenNewerFormat(), is(false));
        mFold.apply(2, new ConfigRecord.Unreadable("format 2", true));
        assertThat(mFold.hasSeenNewerFormat(), is(true));
        assertThat(mFold.position(), is(3L));
    }

    @Test
    void shouldIgnoreChangeAtOffsetZero() {
        assertThat(mFold.apply(0, change(0, model("a", 1), 1)), is(new Verdict.NoChange()));
        assertThat(mFold.version(), is(0L));
    }

    @Test
    void shouldReachTheSameStateFromASnapshotAndLaterRecords() {
        mFold.apply(1, change(0, model("a", 1), 1));
        mFold.apply(2, change(0, model("b", 1), 2));
        mFold.apply(3, removal(1, "a"));
        var fresh = ConfigFold.at(mFold.snapshot());
        for (var fold : new ConfigFold[] {mFold, fresh}) {
            fold.apply(4, change(0, model("a", 7), 3));
            fold.apply(5, change(2, model("b", 8), 4));
        }
        assertThat(fresh.snapshot(), is(mFold.snapshot()));
        assertThat(fresh.version(), is(5L));
    }

    @Test
    void shouldNotRevertToAStaleSnapshot() {
        mFold.apply(1, change(0, model("a", 1), 1));
        var stale = mFold.snapshot();
        mFold.apply(2, change(1, model("a", 2), 2));
        assertThat(mFold.apply(3, stale), is(new Verdict.NoChange()));
        assertThat(mFold.declarations().models().get("a").replicas(), is(2));
        assertThat(mFold.mismatchedSnapshots(), is(0L));
    }

    @Test
    void shouldCountMismatchedSnapshot() {
        mFold.apply(1, change(0, model("a", 1), 1));
        var wrong = new ConfigRecord.Snapshot(2, 1, Map.of(), VerdictCounts.ZERO);
        mFold.apply(2, wrong);
        assertThat(mFold.mismatchedSnapshots(), is(1L));
    }

    @Test
    void shouldLimitTargetToTheTeamsItsFileNames() {
        var open = (DeclarationFile.ModelFile) model("a", 1);
        var closed = new DeclarationFile.ModelFile(open.model(), java.util.Set.of("garages"));
        mFold.apply(1, change(0, closed, 1));
        mFold.apply(2, change(0, teams("t", "boards", HASH), 2));
        var team = mFold.declarations().teams().values().iterator().next();
        assertThat(mFold.declarations().teams().values(), hasSize(1));
        assertThat(team.mayCall("a"), is(false));
    }
}
