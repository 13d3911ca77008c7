package org.fescueport.internal.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsReaderTest {
    private final SettingsReader mReader =
            SettingsReader.of(Map.of("FESCUE_IN_FLIGHT", "7", "FESCUE_NODE", "vm-2"));

    @Test
    void shouldPreferTheFlagToTheVariable() {
        assertThat(mReader.integer("--in-flight", "3", 1, 1, 10), is(3));
    }

    @Test
    void shouldFallBackToTheVariable() {
        assertThat(mReader.integer("--in-flight", null, 1, 1, 10), is(7));
    }

    @Test
    void shouldListEveryWrongSettingAtOnce() {
        mReader.integer("--in-flight", "70", 1, 1, 10);
        mReader.address("--listen", "localhost", "127.0.0.1:0");
        mReader.requiredUrl("--log-url", null);

        var error = assertThrows(SettingsException.class, mReader::requireValid);

        assertThat(
                error.getMessage(),
                allOf(
                        containsString("--in-flight (or FESCUE_IN_FLIGHT) is \"70\""),
                        containsString("a whole number from 1 to 10"),
                        containsString("--listen (or FESCUE_LISTEN) is \"localhost\""),
                        containsString("--log-url (or FESCUE_LOG_URL) is \"\"")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "8080", "host:80", "10.0.0.1:x", "10.0.0.1:70000", ":80"})
    void shouldRefuseAnAddressThatIsNotAnIpAndPort(String value) {
        mReader.address("--listen", value, "127.0.0.1:0");

        assertThrows(SettingsException.class, mReader::requireValid);
    }
}
