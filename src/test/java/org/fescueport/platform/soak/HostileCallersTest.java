package org.fescueport.platform.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fescueport.platform.Await;
import org.fescueport.platform.FreePorts;
import org.fescueport.platform.Installation;
import org.fescueport.platform.RawCaller;
import org.fescueport.platform.RawServer;
import org.fescueport.platform.StoreStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Callers whose requests have a legal size and are costly to hold, against a router process with a
 * small heap. Only what does not depend on the speed of the machine is checked.
 */
@Isolated
class HostileCallersTest {
    /** Of each caller of a crowd; the limit of the configuration. */
    private static final int HEAD_BYTES = 16_384;

    /** Half of a machine's memory in the pages' example, as the heap is half of the deployed. */
    private static final long MAX_RESIDENT_BYTES = 215L * 1_024 * 1_024;

    /** Descriptors for files and for connections to others than callers. */
    private static final int OTHER_DESCRIPTORS = 200;

    private static final long START_LIMIT_MS = 30_000;
    private static final int ANSWER_LIMIT_MS = 20_000;
    private static final int SEND_LIMIT_S = 3;
    private static final int HOLD_MS = 2_000;
    private static final int SLOW_MS = 5_000;
    private static final int CROWD = 500;

    /** What a crowd of callers sends. */
    enum Shape {
        UNFINISHED_SHORT_LINES(CROWD, fill(head("/safe/x"), "a:\r\n")),
        UNFINISHED_NUMBERED_LINES(CROWD, numbered(head("/safe/x"))),
        UNFINISHED_LINES_OF_LF(CROWD, fill(head("/safe/x"), "a:\n")),
        UNFINISHED_BLANKS(CROWD, fill(head("/safe/x"), "a: \t \r\n")),
        UNFINISHED_HUGE_LINE(CROWD, fill(head("/safe/x") + "X: ", "y")),
        IN_PROGRESS_SHORT_LINES(CROWD, fill(head("/once/slow"), "a:\r\n") + "\r\n"),
        IN_PROGRESS_CONNECTION_OPTIONS(
                CROWD, fill(head("/once/slow") + "Connection: x", ",a") + END),
        IN_PROGRESS_COOKIES(CROWD, fill(head("/once/slow") + "Cookie: a=b", "; a=b") + END),
        IN_PROGRESS_PROMPT_PARTS(CROWD, fill(prompt() + "a:1", ",a:1") + END),
        PIPELINED_SHORT_LINES(
                CROWD,
                head("/once/slow") + "\r\n" + (fill(head("/safe/x"), "a:\r\n") + END).repeat(4)),
        UNFINISHED_TRAILERS(CROWD, fill(chunked() + "0\r\n", "a:\r\n")),
        TINY_CHUNKS(CROWD, chunked() + "1\r\nx\r\n".repeat(4_000)),
        PIPELINED_TINY_CHUNKS(
                CROWD, head("/once/slow") + "\r\n" + chunked() + "1\r\nx\r\n".repeat(4_000)),
        UNREAD_ANSWERS(20, (head("/none/x") + "\r\n").repeat(60_000)),
        ADMIN_SHORT_LINES(
                CROWD, "GET /api/readyz HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(3_900)),
        ADMIN_PIPELINED(20, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".repeat(10_000)),
        CHUNK_EXTENSIONS(20, chunked() + ("1;" + "e".repeat(8_000) + "\r\nx\r\n").repeat(1_000));

        private final int mCallers;
        private final String mBytes;

        Shape(int callers, String bytes) {
            mCallers = callers;
            mBytes = bytes;
        }
    }

    private static final String END = "\r\n\r\n";

    @TempDir private Path mFolder;

    @ParameterizedTest
    @EnumSource(names = "ADMIN_.*", mode = EnumSource.Mode.MATCH_NONE)
    void shouldOutliveACrowd(Shape shape) throws Exception {
        try (var store = StoreStandIn.start();
                var replica = RawServer.start(HostileCallersTest::answer);
                var edge = edge(store, replica)) {
            List<Socket> crowd = new ArrayList<>();
            try {
                send(edge.callers(), shape, crowd);
                Await.pause(HOLD_MS);
                assertThat(end(edge), edge.isAlive(), is(true));
                assertThat(edge.residentBytes(), lessThan(MAX_RESIDENT_BYTES));
                assertThat(
                        edge.openDescriptors(),
                        lessThan((long) 2 * shape.mCallers + OTHER_DESCRIPTORS));
            } finally {
                for (var caller : crowd) {
                    caller.close();
                }
            }
            Await.until(
                    "an ordinary request is answered, or the process has ended",
                    ANSWER_LIMIT_MS,
                    () -> !edge.isAlive() || isServed(edge, ordinary()));
            assertThat(end(edge), edge.isAlive(), is(true));
        }
    }

    @Test
    void shouldOutliveACrowdAtTheAdminPort() throws Exception {
        try (var store = StoreStandIn.start();
                var replica = RawServer.start(HostileCallersTest::answer);
                var edge = edge(store, replica)) {
            List<Socket> crowd = new ArrayList<>();
            try {
                send(edge.ready(), Shape.ADMIN_SHORT_LINES, crowd);
                send(edge.ready(), Shape.ADMIN_PIPELINED, crowd);
                Await.pause(HOLD_MS);
                assertThat(end(edge), edge.isAlive(), is(true));
                assertThat(edge.residentBytes(), lessThan(MAX_RESIDENT_BYTES));
            } finally {
                for (var caller : crowd) {
                    caller.close();
                }
            }
            Await.until(
                    "ready, or ended", ANSWER_LIMIT_MS, () -> !edge.isAlive() || edge.isReady());
            assertThat(end(edge), edge.isAlive(), is(true));
        }
    }

    @Test
    void shouldServeOneRequestAtTheLimitInCalm() throws Exception {
        try (var store = StoreStandIn.start();
                var replica = RawServer.start(HostileCallersTest::answer);
                var edge = edge(store, replica)) {
            String request = fill(head("/safe/x"), "a:\r\n") + "\r\n";
            assertThat(isServed(edge, request), is(true));
            assertThat(isServed(edge, fill(prompt() + "a:1", ",a:1") + END), is(true));
        }
    }

    private EdgeProcess edge(StoreStandIn store, RawServer replica) throws IOException {
        store.configure(
                Installation.configuration(1)
                        .replace("\"timeout_ms\":3000", "\"timeout_ms\":15000"));
        register(store, "api", replica);
        register(store, "llm", replica);
        var edge = new EdgeProcess("edge-0", mFolder, store.address(), FreePorts.next(), List.of());
        edge.start();
        Await.until("ready", START_LIMIT_MS, edge::isReady);
        Await.until("serves", START_LIMIT_MS, () -> isServed(edge, ordinary()));
        return edge;
    }

    private static void register(StoreStandIn store, String service, RawServer replica) {
        store.put(
                "keyed.servers",
                service + "-1",
                """
                {"service":"%s","address":"127.0.0.1:%d","zone":"north","version":"v1",\
                "slots":512,"state":"ready","cold_remaining_ms":0,"seq":1,"born":1700000000000}"""
                        .formatted(service, replica.address().getPort()));
    }

    private static void answer(RawServer.Request request, RawServer.Wire wire) throws Exception {
        if (request.target().contains("slow")) {
            Await.pause(SLOW_MS);
        }
        wire.answer(
                200,
                "Fescueport-Attempt-Id: "
                        + request.header("Fescueport-Attempt-Id")
                        + "\r\nFescueport-Replica-Stamp: stamp\r\n",
                "fine".getBytes(StandardCharsets.UTF_8));
    }

    /** Each caller sends until it is refused, or the router stops reading for a while. */
    private static void send(InetSocketAddress address, Shape shape, List<Socket> crowd)
            throws InterruptedException {
        byte[] bytes = shape.mBytes.getBytes(StandardCharsets.ISO_8859_1);
        var sent = new CountDownLatch(shape.mCallers);
        for (int i = 0; i < shape.mCallers; i++) {
            var caller = new Socket();
            crowd.add(caller);
            Thread.ofVirtual()
                    .start(
                            () -> {
                                sendAll(caller, address, bytes);
                                sent.countDown();
                            });
        }
        sent.await(SEND_LIMIT_S, TimeUnit.SECONDS);
    }

    private static void sendAll(Socket caller, InetSocketAddress address, byte[] bytes) {
        try {
            caller.connect(address, ANSWER_LIMIT_MS);
            OutputStream output = caller.getOutputStream();
            output.write(bytes);
        } catch (IOException e) {
            // Refused, or closed at the end of the test: both are allowed.
        }
    }

    private static boolean isServed(EdgeProcess edge, String request) {
        try (var caller = RawCaller.connect(edge.callers())) {
            caller.send(request);
            return caller.receive().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static String end(EdgeProcess edge) throws IOException {
        return edge.lines().lines().reduce((first, last) -> last).orElse("");
    }

    private static String ordinary() {
        return head("/safe/x") + "\r\n";
    }

    private static String head(String path) {
        String request = Installation.request("POST", path, "id-1", "");
        return request.substring(0, request.indexOf("\r\n\r\n") + 2).replace("2000", "15000");
    }

    private static String chunked() {
        return head("/once/slow").replaceAll("Content-Length: 0\r\n", "")
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String prompt() {
        return head("/safe/x")
                + "Fescueport-Model: m\r\nFescueport-Token-Usage: 9,9\r\nFescueport-Prefix-Hash: ";
    }

    /** Repeats the unit for as long as the head stays below the limit. */
    private static String fill(String start, String unit) {
        int room = HEAD_BYTES - 64 - start.length();
        return start + unit.repeat(room / unit.length());
    }

    private static String numbered(String start) {
        var text = new StringBuilder(start);
        for (int i = 0; text.length() < HEAD_BYTES - 64; i++) {
            text.append(Integer.toHexString(i)).append(":\r\n");
        }
        return text.toString();
    }
}
