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
    private static final AgentIncarnation INCARNATION = AgentIncarnation.of(NodeId.of("r"), 1);
    private static final AgentIncarnation NEXT_INCARNATION = AgentIncarnation.of(NodeId.of("r"), 2);
    private static final AgentIncarnation OTHER = AgentIncarnation.of(NodeId.of("s"), 1);

    private final MockClock mClock = new MockClock();
    private final ReplicaNotices mNotices = ReplicaNotices.create();

    private boolean acceptsRequests(AgentIncarnation incarnation) {
        return mNotices.acceptsRequests(incarnation, mClock.monotonicTime());
    }

    private boolean receive(AgentIncarnation incarnation, ReplicaNotice notice) {
        return mNotices.onNotice(incarnation, notice, mClock.monotonicTime());
    }

    private static ReplicaNotice leaving() {
        return new ReplicaNotice(true, Optional.empty(), Optional.empty());
    }

    private static ReplicaNotice pause(long millis) {
        return new ReplicaNotice(false, Optional.of(Duration.ofMillis(millis)), Optional.empty());
    }

    @Test
    void shouldAcceptRequestsUntilANoticeArrives() {
        assertThat(acceptsRequests(INCARNATION), is(true));
        assertThat(receive(INCARNATION, ReplicaNotice.NONE), is(false));
        assertThat(acceptsRequests(INCARNATION), is(true));
    }

    @Test
    void shouldRememberLeavingForTheWholeIncarnation() {
        assertThat(receive(INCARNATION, leaving()), is(true));
        mClock.add(Duration.ofDays(1));
        assertThat(receive(INCARNATION, ReplicaNotice.NONE), is(false));
        assertThat(acceptsRequests(INCARNATION), is(false));
        assertThat(receive(INCARNATION, leaving()), is(false));
    }

    @Test
    void shouldKeepNoticesPerIncarnation() {
        receive(INCARNATION, leaving());
        receive(INCARNATION, pause(10_000));
        assertThat(acceptsRequests(NEXT_INCARNATION), is(true));
        assertThat(acceptsRequests(OTHER), is(true));
    }

    @Test
    void shouldAcceptNoRequestsDuringAPause() {
        assertThat(receive(INCARNATION, pause(700)), is(true));
        mClock.add(Duration.ofMillis(699));
        assertThat(acceptsRequests(INCARNATION), is(false));
        mClock.add(Duration.ofMillis(1));
        assertThat(acceptsRequests(INCARNATION), is(true));
    }

    @Test
    void shouldKeepTheLongestPause() {
        receive(INCARNATION, pause(2_000));
        receive(INCARNATION, pause(100));
        mClock.add(Duration.ofMillis(1_999));
        assertThat(acceptsRequests(INCARNATION), is(false));
        receive(INCARNATION, pause(500));
        mClock.add(Duration.ofMillis(499));
        assertThat(acceptsRequests(INCARNATION), is(false));
        mClock.add(Duration.ofMillis(1));
        assertThat(acceptsRequests(INCARNATION), is(true));
    }

    @Test
    void shouldCapALongPause() {
        receive(
                INCARNATION,
                new ReplicaNotice(false, Optional.of(Duration.ofDays(900)), Optional.empty()));
        mClock.add(Duration.ofHours(1));
        assertThat(acceptsRequests(INCARNATION), is(true));
    }

    @Test
    void shouldReportAnUnreadableNoticeOncePerIncarnation() {
        var unreadable = new ReplicaNotice(false, Optional.empty(), Optional.of("soon"));
        assertThat(receive(INCARNATION, unreadable), is(true));
        assertThat(receive(INCARNATION, unreadable), is(false));
        assertThat(receive(OTHER, unreadable), is(true));
        assertThat(acceptsRequests(INCARNATION), is(true));
    }

    @Test
    void shouldReturnTheTimeUntilTheFirstReplicaAcceptsRequests() {
        receive(INCARNATION, pause(900));
        assertThat(timeUntilAccepting(INCARNATION, OTHER), is(Optional.empty()));
        receive(OTHER, pause(400));
        mClock.add(Duration.ofMillis(100));
        assertThat(timeUntilAccepting(INCARNATION, OTHER), is(Optional.of(Duration.ofMillis(300))));
        receive(OTHER, leaving());
        assertThat(timeUntilAccepting(INCARNATION, OTHER), is(Optional.of(Duration.ofMillis(800))));
        receive(INCARNATION, leaving());
        assertThat(timeUntilAccepting(INCARNATION, OTHER), is(Optional.empty()));
    }

    @ParameterizedTest
    @ValueSource(ints = {9_000, 20_000})
    void shouldEvictTheOldestIncarnations(int incarnations) {
        for (int i = 0; i < incarnations; i++) {
            receive(AgentIncarnation.of(NodeId.of("n"), i), leaving());
        }
        assertThat(acceptsRequests(AgentIncarnation.of(NodeId.of("n"), 0)), is(true));
        assertThat(
                acceptsRequests(AgentIncarnation.of(NodeId.of("n"), incarnations - 1)), is(false));
    }

    private Optional<Duration> timeUntilAccepting(AgentIncarnation... incarnations) {
        return mNotices.timeUntilAccepting(List.of(incarnations), mClock.monotonicTime());
    }
}
