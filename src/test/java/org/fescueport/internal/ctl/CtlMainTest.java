package org.fescueport.internal.ctl;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.fescueport.internal.http.HttpServer;
import org.fescueport.internal.http.HttpServerSettings;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.standin.Standin;
import org.fescueport.internal.standin.StandinSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CtlMainTest {
    private static final String DEMO = "examples/demo";
    private static final String BOOKING = "examples/demo/booking.fescue.yaml";

    @TempDir private Path mFolder;

    private Standin mLog;
    private String mOut;
    private String mErr;

    @BeforeEach
    void startLog() {
        mLog = Standin.log(StandinSettings.of("127.0.0.1", 0));
    }

    @AfterEach
    void stopLog() {
        mLog.stop();
    }

    @Test
    void shouldPublishAndTellTheVersions() {
        assertThat(ctl("publish", DEMO), is(ExitCode.OK));
        assertThat(
                mOut,
                is("accepted\tbooking\t1\naccepted\tgauge-notes\t2\naccepted\tdemo-teams\t3\n"));
        assertThat(ctl("publish", DEMO), is(ExitCode.OK));
        assertThat(mOut, startsWith("unchanged\tbooking\t1\n"));
        assertThat(ctl("diff", DEMO), is(ExitCode.OK));
    }

    @Test
    void shouldTellTheLoserOfARace() throws IOException {
        ctl("publish", DEMO);
        var changed = changedBooking();
        assertThat(ctl("diff", changed), is(CtlExit.DIFFERS));
        assertThat(mOut, containsString("- loadBound: 2.0\n+ loadBound: 3.0\n"));
        assertThat(ctl("publish", "--base", "0", changed), is(CtlExit.LOST));
        assertThat(mOut, is("lost\tbooking\t1\n"));
        assertThat(ctl("publish", "--base", "1", changed), is(ExitCode.OK));
    }

    @Test
    void shouldRollBackAsANewVersion() throws IOException {
        ctl("publish", DEMO);
        ctl("publish", changedBooking());
        assertThat(ctl("rollback", "booking"), is(ExitCode.OK));
        assertThat(mOut, is("accepted\tbooking\t5\n"));
        assertThat(ctl("diff", BOOKING), is(ExitCode.OK));
        assertThat(ctl("rollback", "--to", "99", "booking"), is(ExitCode.USAGE));
        assertThat(mErr, containsString("it has [1, 4, 5]"));
    }

    @Test
    void shouldRemoveAndRefuseToPublishWhatNamesTheRemoved() {
        ctl("publish", "examples/instituto");
        assertThat(ctl("publish", "--remove", "notices"), is(ExitCode.OK));
        assertThat(
                ctl("publish", "examples/instituto/instituto-teams.fescue.yaml"),
                is(CtlExit.INVALID));
        assertThat(mErr, containsString("no file declares a model or service of this name"));
    }

    @Test
    void shouldCollectABundleThatCanBePublished() {
        var bundle = mFolder.resolve("bundle.json").toString();
        assertThat(ctl("collect", DEMO, "--out", bundle), is(ExitCode.OK));
        assertThat(ctl("publish", bundle), is(ExitCode.OK));
    }

    @Test
    void shouldNameEveryProblemAndPublishNothing() throws IOException {
        var wrong = mFolder.resolve("wrong.fescue.yaml");
        Files.writeString(wrong, "schema: 1\nkind: service\nname: B\npool: b\n");
        assertThat(ctl("publish", wrong.toString(), DEMO), is(CtlExit.INVALID));
        assertThat(mErr, containsString("wrong.fescue.yaml:3: name: B: it must be lower-case"));
        assertThat(mErr, containsString("wrong.fescue.yaml:1: field loadBound: it is missing"));
        assertThat(ctl("diff", DEMO), is(CtlExit.DIFFERS));
    }

    @Test
    void shouldSayThatNothingWasPublishedWhileTheLogIsDown() {
        mLog.stop();
        assertThat(ctl("publish", DEMO), is(ExitCode.FAILED));
        assertThat(mErr, containsString("nothing was published"));
    }

    @Test
    void shouldTellWhoLags() throws IOException {
        var ahead = node("{\"node\":\"r1\",\"configVersion\":7,\"configAgeMillis\":10}");
        var behind = node("{\"node\":\"r2\",\"configVersion\":5,\"configAgeMillis\":10}");
        var urls = urlOf(ahead) + "," + urlOf(behind);
        assertThat(ctl("status", "--routers", urls), is(CtlExit.LAGS));
        assertThat(mOut, containsString("current\tr1\t7\t0\t10\tfalse"));
        assertThat(mOut, containsString("lags\tr2\t5\t2\t10\tfalse"));
        assertThat(ctl("status", "--routers", urlOf(ahead)), is(ExitCode.OK));
        ahead.close();
        behind.close();
        assertThat(ctl("status", "--routers", urlOf(ahead)), is(CtlExit.LAGS));
    }

    @Test
    void shouldDrainANode() throws IOException {
        var node = node("draining");
        assertThat(ctl("drain", urlOf(node)), is(ExitCode.OK));
        node.close();
    }

    @ParameterizedTest
    @CsvSource({
        "publish, 2, at least one path",
        "collect x, 2, --out (or FESCUE_OUT)",
        "nonsense, 2, nonsense",
        "validate /no/such/file, 2, can't be read",
        "status, 2, --routers (or FESCUE_ROUTERS)",
        "trace abc, 2, 32 hex digits",
    })
    void shouldExplainWrongUse(String line, int exitCode, String message) {
        assertThat(ctl(line.split(" ")), is(exitCode));
        assertThat(mErr, containsString(message));
    }

    private String changedBooking() throws IOException {
        var path = mFolder.resolve("booking.fescue.yaml");
        var text = Files.readString(Path.of(BOOKING));
        Files.writeString(path, text.replace("loadBound: 2.0", "loadBound: 3.0"));
        return path.toString();
    }

    private int ctl(String... arguments) {
        var out = new ByteArrayOutputStream();
        var err = new ByteArrayOutputStream();
        var environment = Map.of("FESCUE_LOG_URL", "http://" + mLog.address());
        var exitCode =
                CtlMain.run(arguments, environment, new PrintStream(out), new PrintStream(err));
        mOut = out.toString(StandardCharsets.UTF_8);
        mErr = err.toString(StandardCharsets.UTF_8);
        return exitCode;
    }

    private static HttpServer node(String body) throws IOException {
        return HttpServer.start(
                HttpServerSettings.of("127.0.0.1", 0),
                exchange -> exchange.respond(200, Map.of(), body.getBytes(StandardCharsets.UTF_8)));
    }

    private static String urlOf(HttpServer server) {
        return "http://127.0.0.1:" + server.port();
    }
}
