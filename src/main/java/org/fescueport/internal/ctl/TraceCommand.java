package org.fescueport.internal.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.charset.StandardCharsets;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Shows the spans of one trace. */
@Command(name = "trace", description = "Shows the spans of one trace, as the collector has them")
public final class TraceCommand extends CtlCommand {
    @Arguments(title = "ID", description = "The trace's id, 32 hex digits")
    @Required
    private String mId;

    @Option(
            name = {"--collector-url", "--collector"},
            title = "URL",
            description = "The collector; or FESCUE_COLLECTOR_URL")
    private String mCollector;

    private String mUrl;

    @Override
    void readSettings(SettingsReader reader) {
        mUrl = String.valueOf(reader.requiredUrl("--collector-url", mCollector));
        if (!mId.matches("[0-9a-f]{32}")) {
            reader.addProblem("ID", mId, "32 hex digits, as in the traceparent header");
        }
    }

    @Override
    int execute(HttpCaller caller) {
        var response = get(caller, mUrl + "/v1/traces/" + mId);
        if (response.status() != 200) {
            var message =
                    mUrl
                            + " has no trace "
                            + mId
                            + " (status "
                            + response.status()
                            + ")."
                            + " Spans arrive some seconds after the request.";
            throw CtlException.of(ExitCode.FAILED, message);
        }
        print(new String(response.body(), StandardCharsets.UTF_8).stripTrailing());
        return ExitCode.OK;
    }
}
