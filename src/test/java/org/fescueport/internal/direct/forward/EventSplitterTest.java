package org.fescueport.internal.direct.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {
    private static final String STREAM =
            "id: 1\ndata: one\n\n:comment\n\nid:2\r\ndata: two\r\n\r\n"
                    + "event: x\nid: 30\ndata: a\ndata: b\n\n";

    private EventSplitter mSplitter = new EventSplitter();

    private String feed(String text) {
        var bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        return mSplitter.feed(bytes).toString(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 11, 1_000})
    void shouldForwardAllBytesHoweverTheyAreChunked(int size) {
        var passed = new StringBuilder();
        for (int at = 0; at < STREAM.length(); at += size) {
            passed.append(feed(STREAM.substring(at, Math.min(STREAM.length(), at + size))));
        }
        assertThat(passed.toString(), is(STREAM));
        assertThat(mSplitter.lastId(), is(Optional.of("30")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
                "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
                "id: 1\ndata: a\n\r\nid: 2\r\ndata: b\n\r\n",
                "id: 1\r\ndata: a\r\n\rid: 2\rdata: b\r\n\r\n",
                "id: 1\r\ndata: a\r\n\r\rid: 2\rdata: b\r\r\n",
                "\uFEFFid: 1\ndata: a\n\n\nid: 2\ndata: b\n\n",
            })
    void shouldFindEventsByAnyLineEndHoweverTheyAreChunked(String stream) {
        for (int size = 1; size <= stream.length(); size++) {
            var passed = new StringBuilder();
            for (int at = 0; at < stream.length(); at += size) {
                passed.append(feed(stream.substring(at, Math.min(stream.length(), at + size))));
            }
            assertThat(passed.toString(), is(stream));
            assertThat(mSplitter.lastId(), is(Optional.of("2")));
            mSplitter = new EventSplitter();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 1\rdata: a\r\r", "id: 1\ndata: a\n\n"})
    void shouldForwardAnEventBeforeTheNextOneBegins(String event) {
        assertThat(feed(event), is(event));
        assertThat(mSplitter.hasPartialEvent(), is(false));
    }

    @Test
    void shouldTakeACarriageReturnAmongPairsForHalfOfALineEnd() {
        assertThat(feed("id: 1\r\ndata: a\r\n\r"), is(""));
        assertThat(mSplitter.hasPartialEvent(), is(true));
    }

    @Test
    void shouldReturnNothingFromTheFirstEventThatDoesNotFollow() {
        feed("id: 1\ndata: a\n\n");
        mSplitter.beginRun();
        String next = "id: 2\ndata: b\n\n";
        assertThat(feed(":comment\n\n" + next + next + next), is(":comment\n\n" + next));
        assertThat(mSplitter.isOutOfSequence(), is(true));
        assertThat(feed("id: 3\ndata: c\n\n"), is(""));
    }

    @Test
    void shouldBufferAnEventUntilItIsComplete() {
        assertThat(feed("id: 1\ndata: one\n\nid: 2\ndata: tw"), is("id: 1\ndata: one\n\n"));
        assertThat(mSplitter.lastId(), is(Optional.of("1")));
        assertThat(feed("o\n\n"), is("id: 2\ndata: two\n\n"));
        assertThat(mSplitter.lastId(), is(Optional.of("2")));
    }

    @Test
    void shouldContinueWithAnotherReplicasEventsAfterTheLastCompleteOne() {
        feed("id: 1\ndata: one\n\nid: 2\ndata: tw");
        mSplitter.discardPartial();
        assertThat(feed("id: 2\ndata: two\n\n"), is("id: 2\ndata: two\n\n"));
        assertThat(mSplitter.lastId(), is(Optional.of("2")));
    }

    @Test
    void shouldKeepTheLastIdAcrossEventsWithoutId() {
        feed("id: 1\ndata: one\n\ndata: more\n\n");
        assertThat(mSplitter.lastId(), is(Optional.of("1")));
    }
}
