package org.fescueport.internal.ctl;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import io.micrometer.core.instrument.Clock;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.fescueport.internal.http.AsyncHttpCaller;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.http.HttpCallerSettings;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** What all commands share: settings, output and calls over HTTP. */
abstract class CtlCommand {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int TIMEOUT_MILLIS_MAX = 600_000;

    @AirlineModule private HelpOption<CtlCommand> mHelp;

    @Option(
            name = "--timeout-millis",
            title = "MILLIS",
            description = "Time for each call over HTTP. Default: 5000")
    private String mTimeout;

    private PrintStream mOut;
    private Map<String, String> mEnvironment;
    private Duration mTimeLimit;

    /** Runs the command and returns its exit code. */
    final int run(Map<String, String> environment, PrintStream out) {
        if (mHelp.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        mOut = out;
        mEnvironment = environment;
        var reader = SettingsReader.of(environment);
        mTimeLimit =
                reader.millis("--timeout-millis", mTimeout, TIMEOUT_MILLIS, 1, TIMEOUT_MILLIS_MAX);
        readSettings(reader);
        reader.requireValid();
        try (var caller = AsyncHttpCaller.create(HttpCallerSettings.defaults())) {
            return execute(caller);
        }
    }

    /** Reads the settings of this command. */
    abstract void readSettings(SettingsReader reader);

    /** Does the work; the settings were found valid. */
    abstract int execute(HttpCaller caller);

    final Duration timeLimit() {
        return mTimeLimit;
    }

    final Map<String, String> environment() {
        return mEnvironment;
    }

    final Clock clock() {
        return Clock.SYSTEM;
    }

    /** Prints one line of output: fields separated by tabs. */
    final void print(Object... fields) {
        var line = new StringBuilder();
        for (var field : fields) {
            line.append(line.isEmpty() ? "" : "\t").append(field);
        }
        mOut.println(line);
    }

    final HttpCaller.Response get(HttpCaller caller, String url) {
        return call(caller, "GET", url);
    }

    final HttpCaller.Response call(HttpCaller caller, String method, String url) {
        var request = new HttpCaller.Request(method, url, Map.of(), new byte[0], mTimeLimit);
        try {
            return caller.call(request).join();
        } catch (CompletionException e) {
            var message = method + " " + url + " gave no answer: " + messageOf(e);
            throw CtlException.of(ExitCode.FAILED, message, e);
        }
    }

    static String messageOf(Throwable failure) {
        return failure.getCause() == null ? failure.getMessage() : failure.getCause().getMessage();
    }
}
