package org.fescueport.internal.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Shows the version in force on every node, and who lags. */
@Command(name = "status", description = "Shows the version in force on every node, and who lags")
public final class StatusCommand extends CtlCommand {
    private static final int AGE_MILLIS = 6_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(
            name = {"--routers", "--nodes"},
            title = "URLS",
            description = "Routers and agents, separated by commas; or FESCUE_ROUTERS")
    private String mRouters;

    @Option(
            name = "--age-millis",
            title = "MILLIS",
            description = "A node that knew for longer that it was current lags. Default: 6000")
    private String mAge;

    private List<String> mUrls;
    private long mAgeMillis;

    private record Line(String url, long version, long ageMillis, JsonNode status, String fault) {}

    @Override
    void readSettings(SettingsReader reader) {
        mUrls = List.of(reader.requiredText("--routers", mRouters).split(",", -1));
        mAgeMillis = reader.integer("--age-millis", mAge, AGE_MILLIS, 0, Integer.MAX_VALUE);
    }

    @Override
    int execute(HttpCaller caller) {
        var lines = new ArrayList<Line>();
        for (var url : mUrls) {
            lines.add(statusOf(caller, url.strip()));
        }
        var newest = lines.stream().mapToLong(Line::version).max().orElse(0);
        print("state", "node", "version", "behind", "age-millis", "leaving", "url");
        var lagging = 0;
        for (var line : lines) {
            lagging += show(line, newest) ? 0 : 1;
        }
        return lagging == 0 ? ExitCode.OK : CtlExit.LAGS;
    }

    private boolean show(Line line, long newest) {
        if (line.status() == null) {
            print("unreachable", "-", "-", "-", "-", "-", line.url(), line.fault());
            return false;
        }
        var current = line.version() == newest && line.ageMillis() <= mAgeMillis;
        print(
                current ? "current" : "lags",
                line.status().path("node").asText(),
                line.version(),
                newest - line.version(),
                line.ageMillis(),
                line.status().path("leaving").asBoolean(),
                line.url());
        return current;
    }

    private Line statusOf(HttpCaller caller, String url) {
        try {
            var response = get(caller, url + "/v1/status");
            if (response.status() != 200) {
                return new Line(url, 0, 0, null, "status " + response.status());
            }
            var status = JSON.readTree(response.body());
            var age = status.path("configAgeMillis").asLong(Long.MAX_VALUE);
            return new Line(url, status.path("configVersion").asLong(), age, status, "");
        } catch (CtlException | IOException e) {
            return new Line(url, 0, 0, null, e.getMessage());
        }
    }
}
