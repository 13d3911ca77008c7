package org.fescueport.internal.security;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.Clock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.settings.SettingsException;
import org.fescueport.internal.settings.SettingsReader;
import org.fescueport.internal.settings.TlsOptions;
import org.fescueport.testing.TestAuthority;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class TlsMaterialTest {
    private static final String AGENT = FleetRole.AGENT.uri();

    @TempDir private Path mFolder;
    private TestAuthority mOurs;
    private TlsFiles mFiles;

    private enum Fault {
        NO_KEY_FILE("key.pem: it can't be read (NoSuchFileException)"),
        KEY_UNREADABLE("no BEGIN PRIVATE KEY block"),
        OTHER_KEY("it isn't the key of the first certificate"),
        NO_CERTIFICATE("no certificate stands in it"),
        EXPIRED("the certificate of CN=test expired at"),
        ALIEN("our peers would refuse it"),
        NO_ROLE("names none of the roles [urn:fescueport:role:router");

        private final String mMessage;

        Fault(String message) {
            mMessage = message;
        }
    }

    @BeforeEach
    void writeGoodFiles() throws Exception {
        mOurs = TestAuthority.create("ours");
        var certificate = mOurs.sign(TestAuthority.valid(1).addSanUriName(AGENT));
        mFiles = TestAuthority.write(mFolder, certificate, mOurs);
    }

    @Test
    void shouldReadFilesThatFit() {
        var material = TlsMaterial.load(mFiles, Clock.SYSTEM.wallTime());

        assertThat(material.isRight(), is(true));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void shouldSayWhatIsWrong(Fault fault) throws Exception {
        make(fault);

        var problems = TlsMaterial.load(mFiles, Clock.SYSTEM.wallTime()).getLeft();

        assertThat(problems.toString(), containsString(fault.mMessage));
    }

    @Test
    void shouldListEveryWrongFileAtOnceAndNothingOfTheKey() throws Exception {
        make(Fault.EXPIRED);
        Files.writeString(mFiles.key(), "secret");
        Files.delete(mFiles.trust().orElseThrow());
        var reader = SettingsReader.of(Map.of("FESCUE_TLS_KEY", mFiles.key().toString()));

        TlsOptions.read(
                reader,
                new TlsOptions.Flag("--tls-certificates", mFiles.certificates().toString()),
                new TlsOptions.Flag("--tls-key", null),
                Optional.of(new TlsOptions.Flag("--tls-trust", mFolder + "/trust.pem")));

        var message = assertThrows(SettingsException.class, reader::requireValid).getMessage();
        assertThat(
                message,
                allOf(
                        containsString("--tls-certificates (or FESCUE_TLS_CERTIFICATES)"),
                        containsString("expired at"),
                        containsString("--tls-key (or FESCUE_TLS_KEY)"),
                        containsString("--tls-trust (or FESCUE_TLS_TRUST)")));
        assertThat(message.contains("secret"), is(false));
    }

    @Test
    void shouldRefuseSomeOfTheFilesWithoutTheOthers() {
        var reader = SettingsReader.of(Map.of());

        TlsOptions.read(
                reader,
                new TlsOptions.Flag("--tls-certificates", mFiles.certificates().toString()),
                new TlsOptions.Flag("--tls-key", null),
                Optional.empty());

        var message = assertThrows(SettingsException.class, reader::requireValid).getMessage();
        assertThat(message, containsString("--tls-key (or FESCUE_TLS_KEY) is \"\""));
    }

    private void make(Fault fault) throws Exception {
        var agent = TestAuthority.valid(1).addSanUriName(AGENT);
        switch (fault) {
            case NO_KEY_FILE -> Files.delete(mFiles.key());
            case KEY_UNREADABLE -> Files.writeString(mFiles.key(), "no key");
            case OTHER_KEY -> Files.writeString(mFiles.key(), mOurs.sign(agent).getPrivateKeyPEM());
            case NO_CERTIFICATE -> Files.writeString(mFiles.certificates(), "");
            case EXPIRED -> {
                var expired = TestAuthority.valid(-1).addSanUriName(AGENT);
                TestAuthority.write(mFolder, mOurs.sign(expired), mOurs);
            }
            case ALIEN -> {
                var alien = TestAuthority.create("alien").sign(agent);
                TestAuthority.write(mFolder, alien, mOurs);
            }
            default -> TestAuthority.write(mFolder, mOurs.sign(TestAuthority.valid(1)), mOurs);
        }
    }
}
