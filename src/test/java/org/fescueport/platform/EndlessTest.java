package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.fescueport.platform.Scripts.firstThen;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Replicas, the store and peers that send bytes without end until the other side closes. */
class EndlessTest {
    /** More than what lies in sockets' buffers on the way, and what may be held. */
    private static final long MOST_BYTES = 16L * 1_024 * 1_024;

    private static final long SLOW_PAUSE_MS = 2;

    /** What comes without end, and what goes before it. */
    enum Kind {
        STATUS_LINE("HTTP/1.1 200 ", "a"),
        SPACES_BEFORE_THE_STATUS_LINE("", " "),
        LINES_BEFORE_THE_STATUS_LINE("", "\r\n"),
        HEADER("HTTP/1.1 200 OK\r\nX: ", "a"),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-Long: aaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
        INTERIM("", "HTTP/1.1 103 Early\r\nX: a\r\n\r\n"),
        CHUNK_SIZE("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "0"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5;", "a"),
        TRAILERS(
                "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
                "X-Long: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
        FAILURE(
                "HTTP/1.1 500 No\r\n%sTransfer-Encoding: chunked\r\n\r\n",
                "10\r\naaaaaaaaaaaaaaaa\r\n"),
        NOT_RUN(
                "HTTP/1.1 503 No\r\nFescueport-Not-Executed: 1\r\n%s"
                        + "Transfer-Encoding: chunked\r\n\r\n",
                "10\r\naaaaaaaaaaaaaaaa\r\n"),
        ANSWER_TO_ANOTHER_REQUEST(
                "HTTP/1.1 200 OK\r\nFescueport-Attempt-Id: other\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n",
                "10\r\naaaaaaaaaaaaaaaa\r\n");

        private final String mStart;
        private final String mEndless;

        Kind(String start, String endless) {
            mStart = start;
            mEndless = endless;
        }
    }

    private final AtomicLong mWritten = new AtomicLong();
    private final AtomicBoolean mClosed = new AtomicBoolean();

    private Script endless(String start, String part, boolean slow) {
        String fast = part.repeat(8_192 / part.length());
        return (request, wire) -> {
            try {
                wire.write(start.replace("%s", headersFor(request)));
                while (mWritten.get() < 4 * MOST_BYTES) {
                    wire.write(slow ? part : fast);
                    mWritten.addAndGet(slow ? part.length() : fast.length());
                    if (slow) {
                        Await.pause(SLOW_PAUSE_MS);
                    }
                }
            } catch (IOException e) {
                mClosed.set(true);
                throw e;
            }
        };
    }

    private void assertThatTheRequestMovesOn(Kind kind, boolean slow) throws Exception {
        var script = firstThen(endless(kind.mStart, kind.mEndless, slow), GOOD);
        try (var fleet = Installation.start(script, STREAM)) {
            long begun = System.nanoTime();
            var answer = fleet.ask(get("/safe/x"));
            assertThat((System.nanoTime() - begun) / 1_000_000, lessThan(2_500L));
            assertThat(answer.status(), is(200));
            assertThat(answer.body(), is("whole"));
            Await.until("the replica's connection is closed", 3_000, mClosed::get);
            assertThat(mWritten.get(), lessThan(MOST_BYTES));
            assertThat(fleet.ask(get("/safe/y")).status(), is(200));
        }
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void shouldMoveOnFromAReplicaThatSendsFastWithoutEnd(Kind kind) throws Exception {
        assertThatTheRequestMovesOn(kind, false);
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void shouldMoveOnFromAReplicaThatSendsSlowlyWithoutEnd(Kind kind) throws Exception {
        assertThatTheRequestMovesOn(kind, true);
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void shouldTellTheTruthOfWhatMayRunOnce(Kind kind) throws Exception {
        var script = endless(kind.mStart, kind.mEndless, false);
        try (var fleet = Installation.start(script, STREAM)) {
            var answer = fleet.ask(post("/unsafe/x", "hello"));
            boolean notRun = kind == Kind.NOT_RUN;
            assertThat(answer.status(), notRun ? is(503) : anyOf(is(502), is(500), is(504)));
            assertThat(fleet.arrivals("api"), notRun ? anyOf(is(1), is(2)) : is(1));
        }
    }

    @Test
    void shouldEndAnAnswerAtItsLengthWhateverFollows() throws Exception {
        String start = "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nwhole";
        try (var fleet = Installation.start(endless(start, "garbage", false), STREAM)) {
            var answer = fleet.ask(get("/safe/x"));
            assertThat(answer.status(), is(200));
            assertThat(answer.body(), is("whole"));
            Await.until("the replica's connection is closed", 3_000, mClosed::get);
            assertThat(mWritten.get(), lessThan(MOST_BYTES));
        }
    }

    @Test
    void shouldCloseARestingConnectionThatSends() throws Exception {
        Script rests =
                (request, wire) -> {
                    GOOD.answer(request, wire);
                    Await.pause(300);
                    endless("", "garbage", false).answer(request, wire);
                };
        try (var fleet = Installation.start(rests, STREAM)) {
            assertThat(fleet.ask(get("/safe/x")).body(), is("whole"));
            Await.until("the replica's connection is closed", 3_000, mClosed::get);
            assertThat(mWritten.get(), lessThan(MOST_BYTES));
        }
    }

    @Test
    void shouldGoOnElsewhereFromAnEventWithoutEnd() throws Exception {
        Script event =
                (request, wire) -> {
                    ReplicaStandIn.beginStream(request, wire);
                    ReplicaStandIn.chunk(wire, ReplicaStandIn.events(1, 2));
                    endless("", "10\r\naaaaaaaaaaaaaaaa\r\n", false).answer(request, wire);
                };
        Script rest =
                (request, wire) -> {
                    ReplicaStandIn.beginStream(request, wire);
                    ReplicaStandIn.chunk(wire, ReplicaStandIn.events(3, 3));
                    wire.write("0\r\n\r\n");
                };
        try (var fleet = Installation.start(GOOD, firstThen(event, rest))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(ReplicaStandIn.events(1, 3)));
            Await.until("the replica's connection is closed", 3_000, mClosed::get);
            assertThat(mWritten.get(), lessThan(MOST_BYTES));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"CHUNK_SIZE", "INTERIM"})
    void shouldServeOthersAsQuicklyWhileHalfOfTheReplicasSendWithoutEnd(Kind kind)
            throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.replica("api-1").script(endless(kind.mStart, kind.mEndless, false));
            for (int i = 0; i < 100; i++) {
                assertThat(fleet.ask(get("/safe/" + i)).status(), is(200));
            }
        }
    }

    /** Each byte of the answer comes in a chunk of its own. */
    @Test
    void shouldTakeAnAnswerInVeryManyPieces() throws Exception {
        int pieces = 60_000;
        Script script =
                (request, wire) -> {
                    wire.write(
                            "HTTP/1.1 200 OK\r\n"
                                    + headersFor(request)
                                    + "Transfer-Encoding: chunked\r\n\r\n");
                    wire.write("1\r\na\r\n".repeat(pieces) + "0\r\n\r\n");
                };
        try (var fleet = Installation.start(script, STREAM)) {
            assertThat(fleet.ask(get("/safe/x")).body(), is("a".repeat(pieces)));
        }
    }

    @Test
    void shouldCutAPlainAnswerWithoutEndAtItsTime() throws Exception {
        String start = "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n";
        Script endless = endless(start, "10\r\naaaaaaaaaaaaaaaa\r\n", true);
        try (var fleet = Installation.start(endless, STREAM)) {
            long begun = System.nanoTime();
            var answer = fleet.ask(post("/unsafe/x", "hello"));
            assertThat(answer.status(), is(504));
            assertThat((System.nanoTime() - begun) / 1_000_000, lessThan(3_500L));
            Await.until("the replica's connection is closed", 3_000, mClosed::get);
        }
    }

    @Test
    void shouldSurviveAStoreThatSendsWithoutEnd() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM);
                var endless =
                        RawServer.start(
                                endless("HTTP/1.1 200 OK\r\nX: a\r\n", "X: aaaa\r\n", false))) {
            var seed = fleet.router().peers();
            try (var second = TestRouter.start("edge-2", endless.address(), seed).awaitReady()) {
                Await.pause(1_500);
                assertThat(RawCaller.ask(second.callers(), get("/safe/x")).status(), is(200));
            }
        }
    }

    @Test
    void shouldCloseAPeerWhoseFrameIsTooLongAtOnce() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM);
                var peer = new Socket()) {
            peer.connect(fleet.router().peers());
            var output = new DataOutputStream(peer.getOutputStream());
            output.write(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 7});
            peer.setSoTimeout(3_000);
            while (peer.getInputStream().read() >= 0) {
                // The node's own hello.
            }
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
        }
    }
}
