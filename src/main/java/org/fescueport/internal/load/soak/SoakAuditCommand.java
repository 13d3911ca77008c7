package org.fescueport.internal.load.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Gathers what {@code bin/soak} wrote into one JSON object; fails when something was broken. */
@Command(name = "soak-audit", description = "Checks what a soak left in a folder")
public final class SoakAuditCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KILLS = "kills";
    private static final String FACTS = "facts.json";

    @AirlineModule private HelpOption<SoakAuditCommand> mHelp;

    @Option(
            name = "--folder",
            title = "FOLDER",
            description = "With load.json, facts.json, kills, *.runs and *.metrics")
    private String mFolder;

    @Override
    public Integer call() throws IOException {
        if (mHelp.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        var reader = SettingsReader.of(System.getenv());
        var folder = Path.of(reader.requiredText("--folder", mFolder));
        reader.requireValid();
        var audit = new SoakAudit();
        for (Path file : files(folder, ".runs")) {
            audit.addRuns(JSON.readTree(file.toFile()));
        }
        for (Path file : files(folder, ".metrics")) {
            audit.addMetrics(Files.readString(file));
        }
        JsonNode seen = JSON.readTree(folder.resolve("load.json").toFile());
        var report = audit.report(seen, kills(folder.resolve(KILLS)));
        JsonNode facts = JSON.readTree(folder.resolve(FACTS).toFile());
        facts.properties().forEach(fact -> report.set(fact.getKey(), fact.getValue()));
        System.out.println(report);
        return SoakAudit.hasFaults(report) ? ExitCode.FAILED : ExitCode.OK;
    }

    private static List<Path> files(Path folder, String suffix) {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(file -> file.toString().endsWith(suffix)).sorted().toList();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot list " + folder, e);
        }
    }

    private static List<SoakAudit.Kill> kills(Path file) throws IOException {
        var kills = new ArrayList<SoakAudit.Kill>();
        for (String line : Files.readAllLines(file)) {
            var words = line.split(" ");
            kills.add(new SoakAudit.Kill(Long.parseLong(words[0]), words[1]));
        }
        return kills;
    }
}
