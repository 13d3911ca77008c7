package org.fescueport.platform;

import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.answering;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.internal.direct.MachineLimits;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.RawServer.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Callers that send a request and read nothing until the replica has sent all of its answer, or has
 * cut it off because no more of it was taken for a while. The replicas say that they share their
 * machines.
 */
class SlowReaderTest {
    /** More than the sockets between replica, router and caller hold. */
    private static final int ANSWER_BYTES = 12_000_000;

    private static final int PIECE_BYTES = 65_536;
    private static final int CUT_OFF_MS = 700;
    private static final int CALLERS = 12;

    /** What one connection gets before the router finds that there is no room for it. */
    private static final int MAX_EXCESS_BYTES = 2 * PIECE_BYTES + 4_096;

    private static final String SHARED_MACHINE = "Fescueport-Replica-Load: 1,0,8,100\r\n";

    /** Sends a large answer, and cuts it off when none of it is taken for too long. */
    private static final class LargeAnswer implements Script {
        private final CountDownLatch mEnded;

        LargeAnswer(int callers) {
            mEnded = new CountDownLatch(callers);
        }

        @Override
        public void answer(Request request, Wire wire) throws Exception {
            if (!request.target().endsWith("/large")) {
                answering("small").answer(request, wire);
                return;
            }
            wire.socket().setSendBufferSize(PIECE_BYTES);
            var sent = new AtomicInteger();
            Thread.ofVirtual().start(() -> cutOffWhenStuck(wire, sent));
            try {
                wire.write(
                        "HTTP/1.1 200 X\r\n"
                                + headersFor(request)
                                + SHARED_MACHINE
                                + "Content-Length: "
                                + ANSWER_BYTES
                                + "\r\n\r\n");
                while (sent.get() < ANSWER_BYTES) {
                    int length = Math.min(PIECE_BYTES, ANSWER_BYTES - sent.get());
                    wire.write("x".repeat(length));
                    sent.addAndGet(length);
                }
            } finally {
                mEnded.countDown();
            }
        }

        private static void cutOffWhenStuck(Wire wire, AtomicInteger sent) {
            for (int before = -1; sent.get() != before && sent.get() < ANSWER_BYTES; ) {
                before = sent.get();
                Await.pause(CUT_OFF_MS);
            }
            try {
                if (sent.get() < ANSWER_BYTES) {
                    wire.reset();
                }
            } catch (IOException e) {
                // The connection is closed already.
            }
        }

        void awaitEnd() throws InterruptedException {
            assertThat(mEnded.await(30, TimeUnit.SECONDS), is(true));
        }
    }

    @Test
    void shouldDeliverTheWholeAnswerToACallerThatReadsAfterTheReplicaHasGivenUpWaiting()
            throws Exception {
        var replica = new LargeAnswer(1);
        try (var fleet = Installation.start(replica, STREAM, limits(4 * ANSWER_BYTES));
                var caller = RawCaller.connect(fleet.router().callers())) {
            caller.send(request("POST", "/unsafe/large", "id-1", "x"));
            replica.awaitEnd();
            var answer = caller.receive();
            assertThat(answer.body().length(), is(ANSWER_BYTES));
            assertThat(answer.complete(), is(true));
        }
    }

    @ParameterizedTest
    @CsvSource({"262144, 1", "8000000, 0"})
    void shouldBoundWhatManySlowCallersHoldAndAnswerOthers(int maxBytes, int minCuts)
            throws Exception {
        var replica = new LargeAnswer(CALLERS);
        List<RawCaller> callers = new ArrayList<>();
        try (var fleet = Installation.start(replica, STREAM, limits(maxBytes))) {
            for (int i = 0; i < CALLERS; i++) {
                var caller = RawCaller.connect(fleet.router().callers());
                callers.add(caller);
                caller.send(request("POST", "/unsafe/large", "id-" + i, "x"));
            }
            assertThat(fleet.ask(request("GET", "/safe/x", "id-x", "")).body(), is("small"));
            replica.awaitEnd();
            double peak = fleet.router().meter("fescue.unread.bytes.peak");
            assertThat(peak, greaterThan(0.0));
            assertThat(peak, lessThanOrEqualTo((double) maxBytes + MAX_EXCESS_BYTES));
            double cuts = fleet.router().meter("fescue.slow.readers.cut");
            assertThat(cuts, greaterThanOrEqualTo((double) minCuts));
            assertThat(fleet.ask(request("GET", "/safe/x", "id-y", "")).body(), is("small"));
            for (var caller : callers) {
                assertThat(isTruthful(caller), is(true));
            }
        } finally {
            for (var caller : callers) {
                caller.close();
            }
        }
    }

    /** Returns whether an answer looks complete only if it is. */
    private static boolean isTruthful(RawCaller caller) throws IOException {
        try {
            var answer = caller.receive();
            return answer.complete() == (answer.body().length() == ANSWER_BYTES)
                    || answer.status() != 200;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    /** Returns limits that grant all slow callers together this many bytes. */
    private static MachineLimits limits(int unreadBytes) {
        return new MachineLimits(
                TestRouter.MAX_CALLERS, 2L * unreadBytes, TestRouter.MAX_HEAD_BYTES);
    }
}
