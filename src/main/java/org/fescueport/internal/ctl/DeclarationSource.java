package org.fescueport.internal.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fescueport.internal.decision.config.CrossFileValidator;
import org.fescueport.internal.decision.config.DeclarationFile;
import org.fescueport.internal.decision.config.DeclarationParser;
import org.fescueport.internal.decision.config.ParsedFile;
import org.fescueport.internal.decision.config.Problem;
import org.fescueport.internal.settings.ExitCode;

/**
 * Declarations from files, from directories, where they are named {@code *.fescue.yaml}, and from
 * bundles that {@code collect} wrote.
 */
final class DeclarationSource {
    private static final String SUFFIX = ".fescue.yaml";
    private static final String BUNDLE_SUFFIX = ".json";
    private static final int FILE_BYTES_MAX = 1 << 20;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The text of one file. */
    record Source(String path, String text) {}

    /** Declarations of many repositories in one file. */
    record Bundle(int bundle, List<Source> files) {
        static final int FORMAT = 1;
    }

    private DeclarationSource() {}

    /** Returns all sources under these paths, in the order of their paths. */
    static List<Source> read(List<String> paths) {
        var sources = new ArrayList<Source>();
        for (var path : paths) {
            try {
                sources.addAll(read(Path.of(path)));
            } catch (IOException e) {
                throw unreadable(path, e);
            }
        }
        if (sources.isEmpty()) {
            var message =
                    "No *" + SUFFIX + " file was found under " + String.join(", ", paths) + ".";
            throw CtlException.of(ExitCode.USAGE, message);
        }
        return sources;
    }

    /** Returns the parsed files, or ends the command after naming every problem. */
    static List<ParsedFile> parse(List<Source> sources, Collection<DeclarationFile> inForce) {
        var problems = new ArrayList<Problem>();
        var files = new ArrayList<ParsedFile>();
        for (var source : sources) {
            DeclarationParser.parse(source.path(), source.text())
                    .peek(files::add)
                    .peekLeft(problems::addAll);
        }
        problems.addAll(
                CrossFileValidator.validate(files, problems.isEmpty() ? inForce : List.of()));
        if (!problems.isEmpty()) {
            var lines = problems.stream().map(Problem::toString).toList();
            throw CtlException.of(CtlExit.INVALID, String.join("\n", lines));
        }
        return files;
    }

    /** Writes a bundle. */
    static void write(List<Source> sources, Path out) {
        try {
            var bundle = new Bundle(Bundle.FORMAT, sources);
            Files.write(out, JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(bundle));
        } catch (IOException e) {
            throw CtlException.of(ExitCode.FAILED, out + " can't be written: " + e.getMessage(), e);
        }
    }

    private static List<Source> read(Path path) throws IOException {
        if (Files.isDirectory(path)) {
            try (var files = Files.walk(path)) {
                var named =
                        files.filter(file -> file.toString().endsWith(SUFFIX)).sorted().toList();
                var sources = new ArrayList<Source>();
                for (var file : named) {
                    sources.add(readOne(file));
                }
                return sources;
            }
        }
        return path.toString().endsWith(BUNDLE_SUFFIX) ? readBundle(path) : List.of(readOne(path));
    }

    private static Source readOne(Path path) throws IOException {
        if (Files.size(path) > FILE_BYTES_MAX) {
            throw new IOException("it is longer than " + FILE_BYTES_MAX + " bytes");
        }
        return new Source(path.toString(), Files.readString(path));
    }

    private static List<Source> readBundle(Path path) throws IOException {
        try {
            var bundle = JSON.readValue(Files.readAllBytes(path), Bundle.class);
            if (bundle.bundle() != Bundle.FORMAT || bundle.files() == null) {
                throw new IOException("it is no bundle of format " + Bundle.FORMAT);
            }
            return bundle.files();
        } catch (JsonProcessingException e) {
            throw new IOException("it is no bundle: " + e.getOriginalMessage(), e);
        }
    }

    private static CtlException unreadable(String path, IOException e) {
        var message = path + " can't be read: " + e.getMessage() + ". Nothing was published.";
        return CtlException.of(ExitCode.USAGE, message, e);
    }
}
