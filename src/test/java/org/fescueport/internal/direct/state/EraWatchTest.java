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

class EraWatchTest {
    private final ByteArrayOutputStream mLines = new ByteArrayOutputStream();
    private final MockClock mClock = new MockClock();
    private final EventLog mLog = EventLog.start(mLines, mClock, "test", 100);
    private final EraWatch mEras = EraWatch.create(mClock, mLog);
    private int mTold;

    private long hear(long era) {
        return mEras.onAnswer(new EraWord.Told(era));
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
    void shouldTellOfEachNewEraOnce() {
        mEras.listen(() -> mTold++);
        for (long era : new long[] {3, 3, 4, 4, 3, 4, 9}) {
            hear(era);
        }
        assertThat(mTold, is(3));
        assertThat(mEras.current(), is(9L));
        assertThat(lines("store-era"), is(3L));
    }

    @Test
    void shouldSayThatALateAnswerIsOfAFormerEra() {
        hear(5);
        assertThat(hear(4), is(4L));
        assertThat(mEras.current(), is(5L));
    }

    @Test
    void shouldServeAStoreThatTellsNoEraAsBefore() {
        mEras.listen(() -> mTold++);
        assertThat(mEras.onAnswer(new EraWord.Untold()), is(0L));
        assertThat(mTold, is(0));
        assertThat(lines("store-era-odd"), is(0L));
    }

    static Stream<EraWord> oddWords() {
        return Stream.of(
                new EraWord.Untold(),
                new EraWord.Unreadable("x"),
                new EraWord.Told(0),
                new EraWord.Told(Long.MAX_VALUE),
                new EraWord.Told(-1));
    }

    @ParameterizedTest
    @MethodSource("oddWords")
    void shouldTakeAnOddWordForOneOfTheEraThatIsKnownAndTellItOnce(EraWord word) {
        hear(5);
        for (int i = 0; i < 10; i++) {
            assertThat(mEras.onAnswer(word), is(5L));
        }
        assertThat(mEras.current(), is(5L));
        assertThat(lines("store-era-odd"), is(1L));
    }

    @Test
    void shouldBelieveAPeerForwardOnly() {
        hear(5);
        mEras.onPeer(0);
        mEras.onPeer(4);
        mEras.onPeer(Long.MAX_VALUE);
        assertThat(mEras.current(), is(5L));
        mEras.onPeer(6);
        assertThat(mEras.current(), is(6L));
    }

    @Test
    void shouldCountTheCallsBehindANewEraApart() {
        mEras.onCall();
        hear(2);
        mEras.onCall();
        mEras.onCall();
        mClock.addSeconds(11);
        mEras.onCall();
        assertThat(mEras.callsAfterChange(), is(2L));
    }
}
