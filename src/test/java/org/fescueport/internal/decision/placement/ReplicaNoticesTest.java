package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicaNoticesTest {
    private static final AgentIncarnation LIFE = AgentIncarnation.of(NodeId.of("r"), 1);
    private static final AgentIncarnation NEXT_LIFE = AgentIncarnation.of(NodeId.of("r"), 2);
    private static final AgentIncarnation OTHER = AgentIncarnation.of(NodeId.of("s"), 1);

    private final MockClock mClock = new MockClock();
    private final ReplicaNotices mNotices = ReplicaNotices.create();

    private boolean takesWork(AgentIncarnation life) {
        return mNotices.takesWork(life, mClock.monotonicTime());
    }

    private boolean tell(AgentIncarnation life, ReplicaNotice notice) {
        return mNotices.onNotice(life, notice, mClock.monotonicTime());
    }

    private static ReplicaNotice leaving() {
        return new ReplicaNotice(true, Optional.empty(), Optional.empty());
    }

    private static ReplicaNotice pause(long millis) {
        return new ReplicaNotice(false, Optional.of(Duration.ofMillis(millis)), Optional.empty());
    }

    @Test
    void shouldTakeWorkUntilItSaysOtherwise() {
        assertThat(takesWork(LIFE), is(true));
        assertThat(tell(LIFE, ReplicaNotice.NONE), is(false));
        assertThat(takesWork(LIFE), is(true));
    }

    @Test
    void shouldBelieveThatALifeLeavesForAsLongAsItLasts() {
        assertThat(tell(LIFE, leaving()), is(true));
        mClock.add(Duration.ofDays(1));
        assertThat(tell(LIFE, ReplicaNotice.NONE), is(false));
        assertThat(takesWork(LIFE), is(false));
        assertThat(tell(LIFE, leaving()), is(false));
    }

    @Test
    void shouldTakeANewLifeForAnother() {
        tell(LIFE, leaving());
        tell(LIFE, pause(10_000));
        assertThat(takesWork(NEXT_LIFE), is(true));
        assertThat(takesWork(OTHER), is(true));
    }

    @Test
    void shouldSendNothingUntilAPauseIsOver() {
        assertThat(tell(LIFE, pause(700)), is(true));
        mClock.add(Duration.ofMillis(699));
        assertThat(takesWork(LIFE), is(false));
        mClock.add(Duration.ofMillis(1));
        assertThat(takesWork(LIFE), is(true));
    }

    @Test
    void shouldKeepTheLongestPause() {
        tell(LIFE, pause(2_000));
        tell(LIFE, pause(100));
        mClock.add(Duration.ofMillis(1_999));
        assertThat(takesWork(LIFE), is(false));
        tell(LIFE, pause(500));
        mClock.add(Duration.ofMillis(499));
        assertThat(takesWork(LIFE), is(false));
        mClock.add(Duration.ofMillis(1));
        assertThat(takesWork(LIFE), is(true));
    }

    @Test
    void shouldNotCloseAReplicaForGoodByOneFigure() {
        tell(LIFE, new ReplicaNotice(false, Optional.of(Duration.ofDays(900)), Optional.empty()));
        mClock.add(Duration.ofHours(1));
        assertThat(takesWork(LIFE), is(true));
    }

    @Test
    void shouldTellOnceOfALifeThatItsWordCannotBeRead() {
        var unreadable = new ReplicaNotice(false, Optional.empty(), Optional.of("soon"));
        assertThat(tell(LIFE, unreadable), is(true));
        assertThat(tell(LIFE, unreadable), is(false));
        assertThat(tell(OTHER, unreadable), is(true));
        assertThat(takesWork(LIFE), is(true));
    }

    @Test
    void shouldSayWhenTheFirstOfAllOpens() {
        tell(LIFE, pause(900));
        assertThat(opensIn(LIFE, OTHER), is(Optional.empty()));
        tell(OTHER, pause(400));
        mClock.add(Duration.ofMillis(100));
        assertThat(opensIn(LIFE, OTHER), is(Optional.of(Duration.ofMillis(300))));
        tell(OTHER, leaving());
        assertThat(opensIn(LIFE, OTHER), is(Optional.of(Duration.ofMillis(800))));
        tell(LIFE, leaving());
        assertThat(opensIn(LIFE, OTHER), is(Optional.empty()));
    }

    @ParameterizedTest
    @ValueSource(ints = {9_000, 20_000})
    void shouldForgetTheEldestOfVeryManyLives(int lives) {
        for (int i = 0; i < lives; i++) {
            tell(AgentIncarnation.of(NodeId.of("n"), i), leaving());
        }
        assertThat(takesWork(AgentIncarnation.of(NodeId.of("n"), 0)), is(true));
        assertThat(takesWork(AgentIncarnation.of(NodeId.of("n"), lives - 1)), is(false));
    }

    private Optional<Duration> opensIn(AgentIncarnation... lives) {
        return mNotices.opensIn(List.of(lives), mClock.monotonicTime());
    }
}
