package org.fescueport.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.direct.log.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsWatchTest {
    @TempDir Path mFolder;

    private final List<PlatformSettings> mUsed = new ArrayList<>();
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();

    private Path write(String text, long changedAtMillis) throws Exception {
        Path file = Files.writeString(mFolder.resolve("boot"), text);
        return Files.setLastModifiedTime(file, FileTime.fromMillis(changedAtMillis));
    }

    @Test
    void shouldReloadAChangedFileWithoutASignalAndAnUnchangedOneOnlyWithOne() throws Exception {
        Path file = write(PlatformSettingsTest.SETTINGS, 1_000);
        try (var log = EventLog.start(mOutput, new MockClock(), "edge-1", 10)) {
            var watch = SettingsWatch.of(file, log, mUsed::add);
            watch.readIfChanged();
            assertThat(mUsed.size(), is(0));
            watch.read();
            assertThat(mUsed.size(), is(1));
            write(PlatformSettingsTest.SETTINGS.replace("ratio\":0.2", "ratio\":0.3"), 2_000);
            watch.readIfChanged();
            watch.readIfChanged();
            assertThat(mUsed.size(), is(2));
            assertThat(mUsed.getLast().retryRatio(), is(0.3));
        }
    }

    @Test
    void shouldKeepItsSettingsAndLogWhenTheFileCannotBeRead() throws Exception {
        Path file = write(PlatformSettingsTest.SETTINGS, 1_000);
        try (var log = EventLog.start(mOutput, new MockClock(), "edge-1", 10)) {
            var watch = SettingsWatch.of(file, log, mUsed::add);
            write("{", 2_000);
            watch.readIfChanged();
            Files.delete(file);
            watch.readIfChanged();
            assertThat(mUsed.size(), is(0));
        }
        String text = mOutput.toString(StandardCharsets.UTF_8);
        assertThat(text, containsString("settings-unusable"));
        assertThat(text.lines().count(), is(2L));
    }
}
