package org.fescueport.internal.standin;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fescueport.internal.settings.SettingsReader;

/** Options that all stand-ins share. */
abstract class StandinCommand {
    private static final int NOTICE_MILLIS = 1000;
    private static final int MOST_NOTICE_MILLIS = 60_000;

    @AirlineModule private HelpOption<StandinCommand> mHelp;

    @Option(
            name = "--listen",
            title = "ADDRESS:PORT",
            description = "IP address and port; port 0 takes a free one. Default: 127.0.0.1:0")
    private String mListen;

    @Option(
            name = "--seed",
            title = "N",
            description = "Seed of the chance by which faults strike. Default: 1")
    private String mSeed;

    @Option(
            name = "--faults",
            title = "JSON",
            description = "Faults from the start, as PUT /v1/faults takes them. Default: {}")
    private String mFaults;

    @Option(
            name = "--notice-millis",
            title = "MILLIS",
            description =
                    "Time for which the health check says \"leaving\" before a stop. Default: 1000")
    private String mNotice;

    @Option(
            name = "--collector-url",
            title = "URL",
            description = "Where an engine sends its spans by OTLP over HTTP. Default: nowhere")
    private String mCollectorUrl;

    /** Validates the settings, starts the stand-ins and waits for SIGTERM. */
    final void run() throws InterruptedException {
        if (mHelp.showHelpIfRequested()) {
            return;
        }
        var reader = SettingsReader.of(System.getenv());
        var listen = reader.address("--listen", mListen, "127.0.0.1:0");
        int seed = reader.integer("--seed", mSeed, 1, 0, Integer.MAX_VALUE);
        var faults = readFaults(reader);
        Duration notice =
                reader.millis("--notice-millis", mNotice, NOTICE_MILLIS, 0, MOST_NOTICE_MILLIS);
        var collector = reader.url("--collector-url", mCollectorUrl);
        readSettings(reader);
        reader.requireValid();
        var process = StandinProcess.create(notice);
        var host = listen.getAddress().getHostAddress();
        start(process, new StandinSettings(host, listen.getPort(), faults, seed, collector));
        process.run();
    }

    /** Reads the settings of this command. */
    abstract void readSettings(SettingsReader reader);

    /** Starts the stand-ins with validated settings. */
    abstract void start(StandinProcess process, StandinSettings settings);

    private Faults readFaults(SettingsReader reader) {
        var text = reader.text("--faults", mFaults, "{}");
        try {
            var change = Json.parse(text.getBytes(StandardCharsets.UTF_8));
            return FaultSwitch.create(Faults.none(), 0).change(change);
        } catch (BadRequestException e) {
            reader.addProblem("--faults", text, "a JSON object of faults: " + e.getMessage());
            return Faults.none();
        }
    }
}
