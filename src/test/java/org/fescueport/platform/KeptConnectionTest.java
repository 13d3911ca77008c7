package org.fescueport.platform;

import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.RawServer.Wire;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** What a replica writes once more on a connection that is kept for the next requests. */
class KeptConnectionTest {
    private static final String ID = "Fescueport-Attempt-Id: ";
    private static final String NOT_RUN = "Fescueport-Not-Executed: 1\r\n";
    private static final String STAMP = "Fescueport-Replica-Stamp: stamp\r\n";

    /** The first answer of a connection, which is written once more later. */
    private enum Earlier {
        FULL(503, NOT_RUN),
        LIMITED(429, NOT_RUN),
        MISDIRECTED(421, ""),
        REJECTED(400, NOT_RUN),
        GOOD(200, STAMP),
        FAILED(500, STAMP);

        private final int mStatus;
        private final String mHeaders;

        Earlier(int status, String headers) {
            mStatus = status;
            mHeaders = headers;
        }

        String text(String idHeaders) {
            return "HTTP/1.1 "
                    + mStatus
                    + " X\r\nKeep-Alive: timeout=5\r\n"
                    + mHeaders
                    + idHeaders
                    + "Content-Length: 2\r\n\r\nno";
        }
    }

    /** The ids that the repeated answer bears. */
    private enum Ids {
        EARLIER,
        NONE,
        EMPTY,
        EARLIER_AND_OWN,
        OWN_AND_EARLIER;

        String headers(String earlier, String own) {
            return switch (this) {
                case EARLIER -> ID + earlier + "\r\n";
                case NONE -> "";
                case EMPTY -> ID + "\r\n";
                case EARLIER_AND_OWN -> ID + earlier + "\r\n" + ID + own + "\r\n";
                case OWN_AND_EARLIER -> ID + own + "\r\n" + ID + earlier + "\r\n";
            };
        }
    }

    /** Answers at first with the earlier answer; once told, repeats it and runs the request. */
    private static final class RepeatingScript implements Script {
        private final Earlier mEarlier;
        private final Ids mIds;
        private final String mBefore;
        private final Map<Socket, String> mFirstIds = new ConcurrentHashMap<>();
        private final List<Wire> mWires = new CopyOnWriteArrayList<>();
        private final List<String> mRuns = new CopyOnWriteArrayList<>();
        private volatile String mCutAfter = "\r\n\r\nno";
        private volatile int mCopies = 1;
        private volatile int mGapMillis;
        private volatile boolean mRepeats;
        private volatile boolean mRunsRequests;

        RepeatingScript(Earlier earlier, Ids ids, String before) {
            mEarlier = earlier;
            mIds = ids;
            mBefore = before;
        }

        @Override
        public void answer(Request request, Wire wire) throws IOException {
            String id = request.header("Fescueport-Attempt-Id");
            String earlier = mFirstIds.putIfAbsent(wire.socket(), id);
            if (earlier == null) {
                mWires.add(wire);
            }
            if (!mRunsRequests) {
                answerEarly(id, wire);
                return;
            }
            mRuns.add(id);
            if (mRepeats && earlier != null) {
                String text = mEarlier.text(mIds.headers(earlier, id));
                wire.write(
                        mBefore + text.substring(0, text.indexOf(mCutAfter) + mCutAfter.length()));
                Await.pause(20);
            }
            wire.answer(200, headersFor(request), "own".getBytes());
        }

        private void answerEarly(String id, Wire wire) throws IOException {
            String text = mEarlier.text(ID + id + "\r\n");
            if (mGapMillis == 0) {
                wire.write(text.repeat(mCopies));
                return;
            }
            for (int i = 0; i < mCopies; i++) {
                wire.write(text);
                Await.pause(mGapMillis);
            }
        }

        /** Writes the earlier answer once more on each connection, unasked. */
        void writeUnasked(Ids ids, String own) throws IOException {
            for (var wire : mWires) {
                wire.write(mEarlier.text(ids.headers(mFirstIds.get(wire.socket()), own)));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "FULL, NONE",
        "FULL, EMPTY",
        "FULL, EARLIER_AND_OWN",
        "FULL, OWN_AND_EARLIER",
        "LIMITED, NONE",
        "MISDIRECTED, NONE",
        "REJECTED, NONE",
        "GOOD, NONE",
        "GOOD, OWN_AND_EARLIER",
        "FAILED, NONE",
    })
    void shouldNotBelieveRepeatedResponseThatDoesNotNameTheRequest(Earlier earlier, Ids ids)
            throws Exception {
        var script = new RepeatingScript(earlier, ids, "");
        try (var fleet = warmed(script)) {
            script.mRepeats = true;
            int status = fleet.ask(request("POST", "/unsafe/x", "own", "siren")).status();
            assertThat("runs, status " + status, script.mRuns, contains("own"));
            assertThat(status, is(502));
            awaitOneConnectionClosed(script);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "MISDIRECTED, ' X'",
        "FULL, ' X'",
        "FULL, 'Executed: 1'",
        "FULL, 'Executed'",
        "LIMITED, 'Executed: 1'",
        "LIMITED, 'Executed: 1\r\n'",
        "LIMITED, 'Length'",
        "LIMITED, '\r\n\r\n'"
    })
    void shouldNotBelieveRepeatedResponseThatRunsIntoTheResponseToTheRequest(
            Earlier earlier, String cutAfter) throws Exception {
        var script = new RepeatingScript(earlier, Ids.NONE, "");
        script.mCutAfter = cutAfter;
        try (var fleet = warmed(script)) {
            script.mRepeats = true;
            int status = fleet.ask(request("POST", "/unsafe/x", "own", "siren")).status();
            assertThat("runs, status " + status, script.mRuns, contains("own"));
            assertThat(status, is(502));
        }
    }

    @ParameterizedTest
    @EnumSource
    void shouldSkipRepeatedResponseToAnEarlierRequest(Earlier earlier) throws Exception {
        assertSkipped(earlier, "");
    }

    @ParameterizedTest
    @EnumSource
    void shouldSkipRepeatedResponseBehindAnInterimResponse(Earlier earlier) throws Exception {
        assertSkipped(earlier, "HTTP/1.1 102 X\r\n" + ID + "own\r\n\r\n");
    }

    @ParameterizedTest
    @CsvSource({
        "FULL, EARLIER, 0",
        "FULL, EARLIER, 50",
        "FULL, NONE, 0",
        "FULL, NONE, 50",
        "MISDIRECTED, NONE, 0",
        "GOOD, EARLIER, 0",
        "GOOD, NONE, 0",
        "FAILED, EARLIER, 0",
    })
    void shouldNotBelieveResponseThatComesUnaskedOnAnIdleConnection(
            Earlier earlier, Ids ids, int pauseMillis) throws Exception {
        var script = new RepeatingScript(earlier, ids, "");
        try (var fleet = warmed(script)) {
            script.writeUnasked(ids, "own");
            Await.pause(pauseMillis);
            int status = fleet.ask(request("POST", "/unsafe/x", "own", "siren")).status();
            boolean unknown = pauseMillis == 0 && ids == Ids.NONE && status == 502;
            assertThat(unknown ? 200 : status, is(200));
            assertThat(script.mRuns.size(), unknown ? lessThanOrEqualTo(1) : is(1));
        }
    }

    @ParameterizedTest
    @CsvSource({"FULL, 0", "FULL, 30", "LIMITED, 0", "GOOD, 0", "GOOD, 30", "FAILED, 0"})
    void shouldNotKeepConnectionOnWhichAResponseWasRepeatedAtOnce(Earlier earlier, int gapMillis)
            throws Exception {
        var script = new RepeatingScript(earlier, Ids.EARLIER, "");
        script.mCopies = 2;
        script.mGapMillis = gapMillis;
        try (var fleet = warmed(script)) {
            Await.until(
                    "all are closed",
                    () -> script.mWires.stream().allMatch(KeptConnectionTest::isClosed));
            int before = script.mWires.size();
            assertThat(fleet.ask(request("POST", "/unsafe/x", "own", "siren")).body(), is("own"));
            assertThat(script.mRuns, contains("own"));
            assertThat(script.mWires.size(), is(before + 1));
        }
    }

    /** The id alone does not tell two sends to one replica apart. */
    @ParameterizedTest
    @EnumSource(names = {"FULL", "FAILED"})
    void shouldNotTakeRepeatedResponseToAnEarlierAttemptForThatToTheLaterOne(Earlier earlier)
            throws Exception {
        var arrivals = new AtomicInteger();
        Map<Socket, String> sent = new ConcurrentHashMap<>();
        Script script =
                (request, wire) -> {
                    String own = ID + request.header("Fescueport-Attempt-Id") + "\r\n";
                    int arrival = arrivals.incrementAndGet();
                    String before = sent.get(wire.socket());
                    if (arrival <= 2) {
                        Earlier first = arrival == 1 ? earlier : Earlier.FAILED;
                        sent.put(wire.socket(), first.text(own));
                        wire.write(first.text(own));
                        return;
                    }
                    if (before != null) {
                        wire.write(before);
                        Await.pause(20);
                    }
                    wire.answer(200, headersFor(request), "own".getBytes());
                };
        try (var fleet = withAttempts(3, script)) {
            var answer = fleet.ask(request("GET", "/safe/x", "own", ""));
            assertThat(answer.status(), is(200));
            assertThat(answer.body(), is("own"));
            assertThat(arrivals.get(), is(3));
        }
    }

    private static void assertSkipped(Earlier earlier, String before) throws Exception {
        var script = new RepeatingScript(earlier, Ids.EARLIER, before);
        try (var fleet = warmed(script)) {
            script.mRepeats = true;
            var answer = fleet.ask(request("POST", "/unsafe/x", "own", "siren"));
            assertThat(answer.status(), is(200));
            assertThat(answer.body(), is("own"));
            assertThat(script.mRuns, contains("own"));
            awaitOneConnectionClosed(script);
        }
    }

    /** Starts two replicas that are each connected to, and have run nothing yet. */
    private static Installation warmed(RepeatingScript script) throws IOException {
        var fleet = withAttempts(2, script);
        for (int i = 0; script.mWires.size() < 2; i++) {
            fleet.ask(request("POST", "/unsafe/x", "earlier-" + i, "siren"));
        }
        script.mRunsRequests = true;
        assertThat(script.mRuns, empty());
        return fleet;
    }

    /** Starts two replicas and lets each request be sent this many times. */
    private static Installation withAttempts(int most, Script script) throws IOException {
        var fleet = Installation.start(script, STREAM);
        fleet.store()
                .configure(
                        Installation.configuration(2)
                                .replaceAll("\"max_attempts\":\\d", "\"max_attempts\":" + most));
        Await.until(
                "the configuration is in force",
                () -> fleet.router().lines().split("configuration-in-force").length > 2);
        return fleet;
    }

    private static void awaitOneConnectionClosed(RepeatingScript script) {
        Await.until(
                "the connection is closed",
                () -> script.mWires.stream().anyMatch(KeptConnectionTest::isClosed));
    }

    private static boolean isClosed(Wire wire) {
        return wire.socket().isClosed();
    }
}
