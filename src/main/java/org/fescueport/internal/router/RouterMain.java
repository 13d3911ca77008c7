package org.fescueport.internal.router;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.settings.NodeOptions;
import org.fescueport.internal.settings.ProgramCommand;
import org.fescueport.internal.settings.ProgramRunner;
import org.fescueport.internal.settings.SettingsReader;
import org.fescueport.internal.settings.TlsOptions;

/** Entry point of {@code fescue-router}. */
@Command(
        name = "fescue-router",
        description = "Takes callers' requests and routes them to backend servers.")
public final class RouterMain implements ProgramCommand {
    @AirlineModule private NodeOptions mNodeOptions = new NodeOptions();

    @Option(
            name = "--max-body-bytes",
            title = "BYTES",
            description = "Longest body of a request, 1024 to 67108864. FESCUE_MAX_BODY_BYTES")
    private String mMaxBodyBytes;

    @Option(
            name = "--drain-seconds",
            title = "SECONDS",
            description =
                    "Longest wait for requests in flight at a stop, 1 to 3600."
                            + " FESCUE_DRAIN_SECONDS")
    private String mDrainSeconds;

    @Option(
            name = "--callers-tls-certificates",
            title = "FILE",
            description =
                    "Certificates towards callers, PEM, our own first; optional."
                            + " FESCUE_CALLERS_TLS_CERTIFICATES")
    private String mCallersTlsCertificates;

    @Option(
            name = "--callers-tls-key",
            title = "FILE",
            description = "Private key of that certificate, PKCS#8 PEM. FESCUE_CALLERS_TLS_KEY")
    private String mCallersTlsKey;

    /** Runs the router. */
    public static void main(String[] arguments) {
        ProgramRunner.run(RouterMain.class, arguments);
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
                new RouterSettings(
                        mNodeOptions.read(reader),
                        reader.integer("--max-body-bytes", mMaxBodyBytes, 4 << 20, 1024, 64 << 20),
                        reader.integer("--drain-seconds", mDrainSeconds, 120, 1, 3600),
                        TlsOptions.read(
                                reader,
                                new TlsOptions.Flag(
                                        "--callers-tls-certificates", mCallersTlsCertificates),
                                new TlsOptions.Flag("--callers-tls-key", mCallersTlsKey),
                                Optional.empty()));
        reader.requireValid();
        return RouterProcess.start(settings, onGaveUp);
    }
}
