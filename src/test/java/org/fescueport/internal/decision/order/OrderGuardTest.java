package org.fescueport.internal.decision.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.fescueport.internal.decision.order.OrderDecision.Busy;
import org.fescueport.internal.decision.order.OrderDecision.Confirm;
import org.fescueport.internal.decision.order.OrderDecision.Refuse;
import org.fescueport.internal.decision.order.OrderDecision.Run;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OrderGuardTest {
    private static final long MILLI = 1_000_000;

    @Test
    void shouldRunOneOrderAtATime() {
        var guard = OrderGuard.create(true);
        assertThat(guard.offer(5, 0), is(new Run()));
        assertThat(guard.offer(6, MILLI), is(new Busy()));
        guard.finished();
        assertThat(guard.offer(6, 2 * MILLI), is(new Run()));
    }

    @Test
    void shouldRefuseAnOlderToken() {
        var guard = OrderGuard.create(true);
        guard.offer(6, 0);
        assertThat(guard.offer(5, MILLI), is(new Refuse(6)));
        guard.finished();
        assertThat(guard.offer(5, 2 * MILLI), is(new Refuse(6)));
    }

    @Test
    void shouldConfirmTokenFirstForEnginesThatIgnoreTokens() {
        var guard = OrderGuard.create(false);
        assertThat(guard.offer(5, 0), is(new Confirm()));
        guard.confirmed(7, MILLI);
        assertThat(guard.offer(5, 2 * MILLI), is(new Refuse(7)));
        assertThat(guard.offer(7, 3 * MILLI), is(new Run()));
    }

    @ParameterizedTest
    @ValueSource(longs = {300, 1_000, 60_000})
    void shouldConfirmAgainAfterProcessPause(long pauseMillis) {
        var guard = OrderGuard.create(false);
        guard.confirmed(5, 0);
        guard.tick(100 * MILLI);
        assertThat(guard.offer(5, (100 + pauseMillis) * MILLI), is(new Confirm()));
    }

    @Test
    void shouldTrustFreshConfirmationWithoutPause() {
        var guard = OrderGuard.create(false);
        guard.confirmed(5, 0);
        for (var at = 0; at < 1_000; at += 100) {
            guard.tick(at * MILLI);
        }
        assertThat(guard.offer(5, 1_000 * MILLI), is(new Run()));
    }
}
