package org.fescueport.internal.direct.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.fescueport.internal.direct.log.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class EraTrackerTest {
    private final ByteArrayOutputStream mLines = new ByteArrayOutputStream();
    private final MockClock mClock = new MockClock();
    private final EventLog mLog = EventLog.start(mLines, mClock, "test", 100);
    private final EraTracker mEras = EraTracker.create(mClock, mLog);
    private int mNewEraCount;

    private long reportEra(long era) {
        return mEras.onResponse(new EraReport.Reported(era));
    }

    private long lines(String event) {
        mLog.close();
        String wanted = "\"event\":\"" + event + "\"";
        return mLines.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains(wanted))
                .count();
    }

    @Test
    void shouldNotifyOfEachNewEraOnce() {
        mEras.listen(() -> mNewEraCount++);
        for (long era : new long[] {3, 3, 4, 4, 3, 4, 9}) {
            reportEra(era);
        }
        assertThat(mNewEraCount, is(3));
        assertThat(mEras.current(), is(9L));
        assertThat(lines("store-era"), is(3L));
    }

    @Test
    void shouldAttributeALateResponseToItsOwnEra() {
        reportEra(5);
        assertThat(reportEra(4), is(4L));
        assertThat(mEras.current(), is(5L));
    }

    @Test
    void shouldAcceptAStoreThatReportsNoEra() {
        mEras.listen(() -> mNewEraCount++);
        assertThat(mEras.onResponse(new EraReport.Absent()), is(0L));
        assertThat(mNewEraCount, is(0));
        assertThat(lines("store-era-odd"), is(0L));
    }

    static Stream<EraReport> invalidReports() {
        return Stream.of(
                new EraReport.Absent(),
                new EraReport.Unparseable("x"),
                new EraReport.Reported(0),
                new EraReport.Reported(Long.MAX_VALUE),
                new EraReport.Reported(-1));
    }

    @ParameterizedTest
    @MethodSource("invalidReports")
    void shouldAttributeAnInvalidReportToTheCurrentEraAndLogItOnce(EraReport word) {
        reportEra(5);
        for (int i = 0; i < 10; i++) {
            assertThat(mEras.onResponse(word), is(5L));
        }
        assertThat(mEras.current(), is(5L));
        assertThat(lines("store-era-odd"), is(1L));
    }

    @Test
    void shouldAcceptOnlyNewerErasFromAPeer() {
        reportEra(5);
        mEras.onPeer(0);
        mEras.onPeer(4);
        mEras.onPeer(Long.MAX_VALUE);
        assertThat(mEras.current(), is(5L));
        mEras.onPeer(6);
        assertThat(mEras.current(), is(6L));
    }

    @Test
    void shouldCountTheCallsMadeShortlyAfterANewEra() {
        mEras.onCall();
        reportEra(2);
        mEras.onCall();
        mEras.onCall();
        mClock.addSeconds(11);
        mEras.onCall();
        assertThat(mEras.callsAfterChange(), is(2L));
    }
}
