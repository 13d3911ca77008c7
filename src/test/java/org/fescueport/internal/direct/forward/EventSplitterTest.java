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

    private final EventSplitter mSplitter = new EventSplitter();

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
