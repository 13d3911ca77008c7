package org.fescueport.internal.settings;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.util.Optional;
import org.fescueport.internal.security.TokenKeyRing;

/** Flags that routers and agents share. */
public final class NodeOptions {
    @AirlineModule private HelpOption<ProgramCommand> mHelp;

    @Option(name = "--version", description = "Prints the version.")
    private boolean mVersion;

    @Option(
            name = "--node",
            title = "NAME",
            description = "Name of this VM, as the platform's list has it. FESCUE_NODE")
    private String mNode;

    @Option(
            name = "--failure-domain",
            title = "NAME",
            description = "Failure domain of this VM. FESCUE_FAILURE_DOMAIN")
    private String mFailureDomain;

    @Option(
            name = "--listen",
            title = "IP:PORT",
            description = "Where requests arrive; port 0 takes a free one. FESCUE_LISTEN")
    private String mListen;

    @Option(
            name = "--admin-listen",
            title = "IP:PORT",
            description = "Where operators' resources are offered. FESCUE_ADMIN_LISTEN")
    private String mAdminListen;

    @Option(name = "--log-url", title = "URL", description = "The platform's log. FESCUE_LOG_URL")
    private String mLogUrl;

    @Option(
            name = "--vms-url",
            title = "URL",
            description = "The platform's list of VMs. FESCUE_VMS_URL")
    private String mVmsUrl;

    @Option(
            name = "--traces-url",
            title = "URL",
            description = "Collector of traces by OTLP over HTTP; optional. FESCUE_TRACES_URL")
    private String mTracesUrl;

    @Option(
            name = "--token-keys",
            title = "ID:SECRET,...",
            description =
                    "Keys that sign tickets and tokens, the signing one first; the secret is at"
                            + " least 32 bytes in base64url. Prefer FESCUE_TOKEN_KEYS.")
    private String mTokenKeys;

    @Option(
            name = "--tls-certificates",
            title = "FILE",
            description =
                    "Certificates of this process towards the fleet, PEM, its own first; optional."
                            + " FESCUE_TLS_CERTIFICATES")
    private String mTlsCertificates;

    @Option(
            name = "--tls-key",
            title = "FILE",
            description = "Private key of that certificate, PKCS#8 PEM. FESCUE_TLS_KEY")
    private String mTlsKey;

    @Option(
            name = "--tls-trust",
            title = "FILE",
            description =
                    "Certificates, PEM, that sign those of the fleet's processes."
                            + " FESCUE_TLS_TRUST")
    private String mTlsTrust;

    /** Returns whether {@code --version} was given. */
    public boolean isVersionAsked() {
        return mVersion;
    }

    /** Shows the help if it was asked for. */
    public boolean showHelpIfAsked() {
        return mHelp != null && mHelp.showHelpIfRequested();
    }

    /** Reads the settings; wrong ones are gathered by the reader. */
    public NodeSettings read(SettingsReader reader) {
        return new NodeSettings(
                reader.requiredText("--node", mNode),
                reader.requiredText("--failure-domain", mFailureDomain),
                reader.address("--listen", mListen, "127.0.0.1:0"),
                reader.address("--admin-listen", mAdminListen, "127.0.0.1:0"),
                reader.requiredUrl("--log-url", mLogUrl),
                reader.requiredUrl("--vms-url", mVmsUrl),
                reader.url("--traces-url", mTracesUrl),
                tokenKeys(reader),
                TlsOptions.read(
                        reader,
                        new TlsOptions.Flag("--tls-certificates", mTlsCertificates),
                        new TlsOptions.Flag("--tls-key", mTlsKey),
                        Optional.of(new TlsOptions.Flag("--tls-trust", mTlsTrust))));
    }

    private String tokenKeys(SettingsReader reader) {
        var text = reader.requiredText("--token-keys", mTokenKeys);
        try {
            TokenKeyRing.parse(text);
        } catch (IllegalArgumentException e) {
            // The value holds secrets, so the message doesn't repeat it.
            reader.addProblem("--token-keys", "(not shown)", "ID:SECRET,...; " + e.getMessage());
        }
        return text;
    }
}
