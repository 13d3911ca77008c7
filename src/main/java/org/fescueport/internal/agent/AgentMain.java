package org.fescueport.internal.agent;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.Map;
import org.fescueport.internal.settings.NodeOptions;
import org.fescueport.internal.settings.ProgramCommand;
import org.fescueport.internal.settings.ProgramRunner;
import org.fescueport.internal.settings.SettingsReader;

/** Entry point of {@code fescue-agent}. */
@Command(
        name = "fescue-agent",
        description = "Runs beside one backend server and is the only way to it.")
public final class AgentMain implements ProgramCommand {
    @AirlineModule private NodeOptions mNodeOptions = new NodeOptions();

    @Option(
            name = "--backend-kind",
            title = "model|service",
            description = "What the backend server is. FESCUE_BACKEND_KIND")
    private String mBackendKind;

    @Option(
            name = "--backend-url",
            title = "URL",
            description = "The backend server. FESCUE_BACKEND_URL")
    private String mBackendUrl;

    @Option(
            name = "--pool",
            title = "NAME",
            description = "The pool that the backend server belongs to. FESCUE_POOL")
    private String mPool;

    @Option(
            name = "--in-flight",
            title = "COUNT",
            description = "Requests at the backend server at once, 1 to 10000. FESCUE_IN_FLIGHT")
    private String mInFlight;

    @Option(
            name = "--queue",
            title = "COUNT",
            description = "Requests that may wait, 0 to 100000. FESCUE_QUEUE")
    private String mQueue;

    @Option(
            name = "--weights-url",
            title = "URL",
            description =
                    "The weight store. Without it this agent takes no orders and gives none."
                            + " FESCUE_WEIGHTS_URL")
    private String mWeightsUrl;

    @Option(
            name = "--weights-bytes-per-second",
            title = "BYTES",
            description =
                    "Rate of the weight store, which all agents share, 1 to 2000000000."
                            + " FESCUE_WEIGHTS_BYTES_PER_SECOND")
    private String mWeightsBytesPerSecond;

    @Option(
            name = "--log-retention-seconds",
            title = "SECONDS",
            description =
                    "Time for which the log surely keeps a record, 600 to 31536000; snapshots are"
                            + " written well inside it. FESCUE_LOG_RETENTION_SECONDS")
    private String mLogRetentionSeconds;

    @Option(
            name = "--drain-seconds",
            title = "SECONDS",
            description =
                    "Longest wait for requests in flight at a stop, 1 to 3600."
                            + " FESCUE_DRAIN_SECONDS")
    private String mDrainSeconds;

    /** Runs the agent. */
    public static void main(String[] arguments) {
        ProgramRunner.run(AgentMain.class, arguments);
    }

    @Override
    public boolean isVersionAsked() {
        return mNodeOptions.isVersionAsked();
    }

    @Override
    public boolean showHelpIfAsked() {
        return mNodeOptions.showHelpIfAsked();
    }

    @Override
    public Running start(Map<String, String> environment, Runnable onGaveUp) throws Exception {
        var reader = SettingsReader.of(environment);
        var settings =
                new AgentSettings(
                        mNodeOptions.read(reader),
                        readKind(reader),
                        reader.requiredUrl("--backend-url", mBackendUrl),
                        reader.requiredText("--pool", mPool),
                        reader.integer("--in-flight", mInFlight, 64, 1, 10_000),
                        reader.integer("--queue", mQueue, 1024, 0, 100_000),
                        reader.url("--weights-url", mWeightsUrl),
                        reader.integer(
                                "--weights-bytes-per-second",
                                mWeightsBytesPerSecond,
                                100_000_000,
                                1,
                                2_000_000_000),
                        reader.integer(
                                "--log-retention-seconds",
                                mLogRetentionSeconds,
                                86_400,
                                600,
                                31_536_000),
                        reader.integer("--drain-seconds", mDrainSeconds, 120, 1, 3600));
        reader.requireValid();
        return AgentProcess.start(settings, onGaveUp);
    }

    private AgentSettings.BackendKind readKind(SettingsReader reader) {
        var text = reader.text("--backend-kind", mBackendKind, "");
        return switch (text) {
            case "model" -> AgentSettings.BackendKind.MODEL;
            case "service" -> AgentSettings.BackendKind.SERVICE;
            default -> {
                reader.addProblem("--backend-kind", text, "model or service");
                yield AgentSettings.BackendKind.MODEL;
            }
        };
    }
}
