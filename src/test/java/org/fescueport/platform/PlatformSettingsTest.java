package org.fescueport.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformSettingsTest {
    static final String SETTINGS =
            """
            {"node_name":"edge-1","role":"router","zone":"north","unknown":{"a":[1]},
             "listen":{"frontend":"10.0.0.1:8227","ready":"10.0.0.1:8220",
              "control":"10.0.0.1:8229"},
             "seeds":["10.0.0.1:8229","10.0.0.2:8229"],"data_dir":null,
             "limits":{"cores":1,"max_fds":4100},
             "bounds":{"grace_s":8,"drain_ms":2000,"retry_budget_ratio":0.2,"budget_slack":56,
              "budget_window_s":10},
             "platform":{"address":"10.200.1.7:8223","form":"log"}}""";

    @TempDir Path mFolder;

    @Test
    void shouldReadSettingsAndIgnoreUnknownFields() throws Exception {
        Path file = Files.writeString(mFolder.resolve("boot"), SETTINGS);
        var settings = PlatformSettings.read(file);
        assertThat(settings.node(), is("edge-1"));
        assertThat(settings.control().getPort(), is(8_229));
        assertThat(settings.seeds().size(), is(2));
        assertThat(settings.gracePeriod().toSeconds(), is(8L));
        assertThat(settings.drainTimeout().toMillis(), is(2_000L));
        assertThat(settings.retryRatio(), is(0.2));
        assertThat(settings.sockets().getAsInt(), is(3_900));
    }

    /** Callers expect that what they send up to 3 s after the signal alone may be cut. */
    @Test
    void shouldLeaveASecondForALateSignalBeforeCallersExpectNoCut() {
        Duration notice = PlatformSettings.LOAD_BALANCER.noticeTime();
        assertThat(notice.plusSeconds(1), is(lessThanOrEqualTo(Duration.ofSeconds(3))));
    }

    @Test
    void shouldUseDefaultDrainTimeoutIfNoneIsStated() throws Exception {
        Path file =
                Files.writeString(
                        mFolder.resolve("boot"), SETTINGS.replace("\"drain_ms\":2000,", ""));
        assertThat(PlatformSettings.read(file).drainTimeout().toSeconds(), is(2L));
    }

    @ParameterizedTest
    @CsvSource({"'\"limits\":{\"cores\":1,\"max_fds\":4100},'", "',\"max_fds\":4100'"})
    void shouldHaveNoSocketLimitIfNoneIsStated(String left) throws Exception {
        Path file = Files.writeString(mFolder.resolve("boot"), SETTINGS.replace(left, ""));
        assertThat(PlatformSettings.read(file).sockets().isEmpty(), is(true));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"node_name\":\"edge-1\", | '' | node_name",
                "\"node_name\":\"edge-1\" | \"node_name\":1 | node_name",
                "\"drain_ms\":2000 | \"drain_ms\":\"soon\" | drain_ms",
                "\"max_fds\":4100 | \"max_fds\":\"many\" | max_fds",
                "\"max_fds\":4100 | \"max_fds\":210 | max_fds",
                "\"grace_s\":8 | \"grace_s\":\"long\" | grace_s",
                "10.200.1.7:8223 | store:8223 | store:8223",
                "\"listen\": | \"listens\": | listen",
                "\"seeds\":[ | \"seeds\":[5, | text",
                "{\"node_name\" | \"node_name\" | JSON"
            })
    void shouldNameInvalidFieldAndItsFile(String part, String wrong, String named)
            throws IOException {
        Path file = Files.writeString(mFolder.resolve("boot"), SETTINGS.replace(part, wrong));
        var thrown =
                assertThrows(Json.UnreadableException.class, () -> PlatformSettings.read(file));
        assertThat(
                thrown.getMessage(), allOf(containsString(named), containsString(file.toString())));
    }
}
