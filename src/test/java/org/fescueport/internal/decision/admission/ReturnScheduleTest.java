package org.fescueport.internal.decision.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double ROOM_PER_SECOND = 50;

    private final ReturnSchedule mSchedule = new ReturnSchedule();

    @Test
    void shouldAskNoMoreToReturnInASecondThanThereIsRoomFor() {
        int[] perSecond = new int[4];
        for (int i = 0; i < 100; i++) {
            long delay = mSchedule.reserve(0, 4 * SECOND, ROOM_PER_SECOND, 0);
            perSecond[(int) (delay / SECOND)]++;
        }
        for (int returns : perSecond) {
            assertThat(returns, is(lessThanOrEqualTo((int) (1.1 * ROOM_PER_SECOND))));
        }
    }

    @Test
    void shouldNotAskToReturnBeforeThereIsRoomNorTooLate() {
        for (int i = 0; i < 500; i++) {
            long delay = mSchedule.reserve(SECOND, 3 * SECOND, ROOM_PER_SECOND, 0);
            assertThat(delay, is(greaterThanOrEqualTo(SECOND)));
            assertThat(delay, is(lessThanOrEqualTo(3 * SECOND + SECOND / 10)));
        }
    }

    /** Without any room, nobody is asked to return sooner than others, and not all at once. */
    @Test
    void shouldSpreadReturnsInALastingOverload() {
        int[] perSlot = new int[42];
        for (int i = 0; i < 400; i++) {
            long delay = mSchedule.reserve(0, 4 * SECOND, 1, 0);
            perSlot[(int) (delay * 10 / SECOND)]++;
        }
        for (int returns : perSlot) {
            assertThat(returns, is(lessThan(30)));
        }
    }

    @Test
    void shouldForgetReturnsThatArePast() {
        for (int i = 0; i < 100; i++) {
            mSchedule.reserve(0, SECOND, ROOM_PER_SECOND, 0);
        }
        long delay = mSchedule.reserve(0, SECOND, ROOM_PER_SECOND, 2 * SECOND);
        assertThat(delay, is(lessThanOrEqualTo(SECOND / 5)));
    }
}
