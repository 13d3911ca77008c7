package org.fescueport.internal.load.report;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.github.rvesse.airline.SingleCommand;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.fescueport.internal.settings.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReportCommandTest {
    private static final String ENTRY =
            """
            {"cmd":"score","site":"dams","head":"0123456789abcdef","at":["2026-01-0%dT00:00:00Z"],
             "days":[{"G":0.8,"name":"quiet & calm","prices":[["memory",12.5,0.02],["probes",0,0]],
                      "by_class":[0.9,null,0.7],"by_zone":[0.8]},
                     {"G":0.7,"name":"storm","prices":[],"by_class":[0.6],"by_zone":[]}]}""";

    private static final String RUN =
            """
            {"G":0.75,"prices":[["memory",1.0,0.1]],"classes":[{"name":"lookup","worth":0.9}],
             "zones":[{"name":"north","worth":0.8}],
             "windows":[{"name":"0","worth":1.0},{"name":"2","worth":null}]}""";

    @TempDir Path mFolder;

    private int run(String... arguments) throws Exception {
        return SingleCommand.singleCommand(ReportCommand.class).parse(arguments).call();
    }

    private Path write(String name, String text) throws IOException {
        return Files.writeString(mFolder.resolve(name), text);
    }

    private String out() {
        return mFolder.resolve("new/page.html").toString();
    }

    private static int plots(String page) {
        return page.split("data:image/png;base64,", -1).length - 1;
    }

    @Test
    void shouldShowEachScoreOfTheSiteByDayAndVersion() throws Exception {
        write("1.json", ENTRY.formatted(1));
        write("2.json", ENTRY.formatted(2));
        write("3.json", ENTRY.formatted(3).replace("dams", "locks"));
        write("4.json", "{\"cmd\":\"hunt\",\"site\":\"dams\"}");
        int code = run("--journal", mFolder.toString(), "--site", "dams", "--out", out());
        assertThat(code, is(ExitCode.OK));
        String page = Files.readString(Path.of(out()));
        assertThat(page, allOf(containsString("quiet &amp; calm"), containsString("0123456")));
        assertThat(page, containsString("2026-01-02T00:00:00Z"));
        assertThat(page.contains("2026-01-03T00:00:00Z"), is(false));
        assertThat(plots(page), is(5));
    }

    @Test
    void shouldShowOneDayByClassZoneAndTime() throws Exception {
        Path file = write("day.json", RUN);
        assertThat(run("--run", file.toString(), "--out", out()), is(ExitCode.OK));
        assertThat(plots(Files.readString(Path.of(out()))), is(4));
        DayRun day = ResultFiles.readRun(file);
        assertThat(day.windows(), contains(new Share("0", 1.0)));
        assertThat(day.largestLosses(3), contains(new Loss("memory", 0.1)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"G\":0.75 | \"G\":\"much\" | 'G'",
                "1.0,0.1 | 1.0,\"x\" | 'prices'",
                "{\"G\" | [\"G\" | JSON",
            })
    void shouldSayWhichFileIsWrongAndWhy(String part, String wrong, String named) throws Exception {
        Path file = write("day.json", RUN.replace(part, wrong));
        var thrown = assertThrows(ReportException.class, () -> ResultFiles.readRun(file));
        assertThat(thrown.getMessage(), allOf(containsString("day.json"), containsString(named)));
        assertThat(run("--run", file.toString(), "--out", out()), is(ExitCode.USAGE));
    }

    @Test
    void shouldSayThatThereIsNothingToReport() throws Exception {
        assertThat(
                run("--journal", mFolder.toString(), "--site", "dams", "--out", out()),
                is(ExitCode.FAILED));
        assertThat(run("--run", "x"), is(ExitCode.USAGE));
    }
}
