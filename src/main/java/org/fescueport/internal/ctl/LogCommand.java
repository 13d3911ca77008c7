package org.fescueport.internal.ctl;

import com.github.rvesse.airline.annotations.Option;
import java.net.URI;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.log.config.ConfigPublisher;
import org.fescueport.internal.port.HttpLogService;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** A command that reads or writes the platform's log. */
abstract class LogCommand extends CtlCommand {
    @Option(
            name = {"--log-url", "--log"},
            title = "URL",
            description = "The platform's log; or FESCUE_LOG_URL")
    private String mLogUrl;

    @Option(
            name = "--publisher",
            title = "NAME",
            description = "Name kept with each change; or FESCUE_PUBLISHER. Default: the user's")
    private String mPublisher;

    private URI mUrl;
    private String mName;

    @Override
    void readSettings(SettingsReader reader) {
        mUrl = reader.requiredUrl("--log-url", mLogUrl);
        mName = reader.text("--publisher", mPublisher, System.getProperty("user.name", "unknown"));
    }

    final ConfigPublisher publisher(HttpCaller caller) {
        var log = HttpLogService.of(caller, mUrl.toString(), timeLimit());
        return ConfigPublisher.create(log, mName, UUID::randomUUID);
    }

    /** Reads the stream to its end. */
    final ConfigFold catchUp(ConfigPublisher publisher) {
        try {
            return publisher.catchUp().join();
        } catch (CompletionException e) {
            var message =
                    "The log at "
                            + mUrl
                            + " could not be read, nothing was published: "
                            + messageOf(e)
                            + ". Check --log-url and try again when the log is up.";
            throw CtlException.of(ExitCode.FAILED, message, e);
        }
    }
}
