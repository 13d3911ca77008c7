package org.fescueport.internal.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Tells nodes to finish what they have and take nothing new. */
@Command(name = "drain", description = "Tells nodes to finish their work and take nothing new")
public final class DrainCommand extends CtlCommand {
    @Arguments(title = "URL", description = "Routers or agents to drain")
    @Required
    private List<String> mUrls;

    @Override
    void readSettings(SettingsReader reader) {
        // Has no settings of its own.
    }

    @Override
    int execute(HttpCaller caller) {
        var exitCode = ExitCode.OK;
        for (var url : mUrls) {
            var response = call(caller, "POST", url + "/v1/drain");
            var done = response.status() / 100 == 2;
            var body = new String(response.body(), StandardCharsets.UTF_8).strip();
            print(done ? "draining" : "refused", url, response.status(), body);
            exitCode = done ? exitCode : ExitCode.FAILED;
        }
        return exitCode;
    }
}
