package org.fescueport.internal.direct.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescueport.internal.direct.forward.SlowReaderBudget.Unread;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SlowReaderBudgetTest {
    private static final long MAX_BYTES = 1_000_000;
    private static final int READ_BYTES = 1_000;
    private static final long STALL = SlowReaderBudget.STALL_TIME.toNanos();

    private final SimpleMeterRegistry mRegistry = new SimpleMeterRegistry();
    private final SlowReaderBudget mBudget = SlowReaderBudget.of(MAX_BYTES, mRegistry);
    private final List<String> mCut = new ArrayList<>();
    private final Map<String, Unread> mReaders = new TreeMap<>();

    private Unread reader(String name) {
        return mReaders.computeIfAbsent(name, n -> mBudget.open(bytes -> mCut.add(n)));
    }

    private void hold(String name, long bytes, long nowNanos) {
        mBudget.update(reader(name), bytes, nowNanos);
    }

    /** Each reader that has room gets more, until none has. */
    private void fill(int readers) {
        boolean moved = true;
        while (moved) {
            moved = false;
            for (int i = 0; i < readers; i++) {
                Unread reader = reader("r" + i);
                if (mBudget.hasRoom(reader)) {
                    mBudget.update(reader, reader.bytes() + READ_BYTES, 0);
                    moved = true;
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 10, 100})
    void shouldGiveEqualRoomToCallersThatReadNothing(int readers) {
        fill(readers);
        long share = MAX_BYTES / (readers + 2);
        for (var reader : mReaders.values()) {
            assertThat(reader.bytes(), greaterThanOrEqualTo(share - READ_BYTES));
            assertThat(reader.bytes(), lessThanOrEqualTo(share + READ_BYTES));
        }
        mBudget.cutExcess(0);
        assertThat(mCut, is(empty()));
    }

    @Test
    void shouldPauseTheLargestFirstAndLeaveRoomForOthers() {
        hold("large", 450_000, 0);
        hold("small", 100_000, 0);
        assertThat(mBudget.hasRoom(reader("large")), is(false));
        assertThat(mBudget.hasRoom(reader("small")), is(true));
        hold("large", 250_000, 1);
        assertThat(mBudget.hasRoom(reader("large")), is(true));
    }

    @ParameterizedTest
    @CsvSource({
        // The largest, the second, and the one that reads: bytes, and who is cut.
        "600000, 300000, 200000, a",
        "300000, 600000, 200000, b",
        "300000, 200000, 900000, a b",
        "100000, 100000, 100000, ''",
    })
    void shouldCutStalledCallersBeforeThoseThatReadAndTheLargestFirst(
            long a, long b, long reading, String cut) {
        hold("a", a, 0);
        hold("b", b, 0);
        hold("reading", reading + 1, 0);
        hold("reading", reading, STALL);
        mBudget.cutExcess(STALL);
        assertThat(String.join(" ", mCut), is(cut));
        assertThat(mBudget.bytes(), lessThanOrEqualTo(MAX_BYTES));
        assertThat(mRegistry.counter("fescue.slow.readers.cut").count(), is((double) mCut.size()));
    }

    @Test
    void shouldCutTheLargestWhenAllRead() {
        hold("a", 400_000, STALL);
        hold("b", 700_000, STALL);
        mBudget.cutExcess(STALL);
        assertThat(mCut, contains("b"));
    }

    @Test
    void shouldForgetWhatHasBeenRead() {
        hold("a", 900_000, 0);
        hold("a", 0, 1);
        assertThat(mBudget.bytes(), is(0L));
        assertThat(mBudget.peakBytes(), is(900_000L));
        assertThat(mRegistry.get("fescue.slow.readers").gauge().value(), is(0.0));
    }
}
