package org.fescueport.internal.settings;

import io.micrometer.core.instrument.Clock;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.security.TlsFiles;
import org.fescueport.internal.security.TlsMaterial;
import org.fescueport.internal.security.TlsProblem;

/** Reads the settings that name {@link TlsFiles}, and checks the files. */
public final class TlsOptions {
    /** Allowed content of the files. */
    private static final String CERTIFICATES = "a file of PEM certificates, our own first";

    private static final String KEY = "a file with the certificate's private key, PKCS#8 PEM";
    private static final String TRUST = "a file of the PEM certificates that sign our peers'";

    private TlsOptions() {}

    /** One flag and the value that it was given. */
    public record Flag(String name, String given) {}

    /** Reads files of certificates, key and trust bundle; all of them or none must be given. */
    public static Optional<TlsFiles> read(
            SettingsReader reader, Flag certificates, Flag key, Optional<Flag> trust) {
        var paths =
                List.of(
                        path(reader, certificates, CERTIFICATES),
                        path(reader, key, KEY),
                        trust.flatMap(flag -> path(reader, flag, TRUST)));
        if (paths.stream().allMatch(Optional::isEmpty)) {
            return Optional.empty();
        }
        boolean isWhole =
                paths.get(0).isPresent()
                        && paths.get(1).isPresent()
                        && paths.get(2).isPresent() == trust.isPresent();
        if (!isWhole) {
            require(reader, certificates, paths.get(0), CERTIFICATES);
            require(reader, key, paths.get(1), KEY);
            trust.ifPresent(flag -> require(reader, flag, paths.get(2), TRUST));
            return Optional.empty();
        }
        var files = new TlsFiles(paths.get(0).get(), paths.get(1).get(), paths.get(2));
        TlsMaterial.load(files, Clock.SYSTEM.wallTime())
                .peekLeft(
                        problems ->
                                problems.forEach(
                                        problem -> add(reader, problem, certificates, key, trust)));
        return Optional.of(files);
    }

    private static void add(
            SettingsReader reader,
            TlsProblem problem,
            Flag certificates,
            Flag key,
            Optional<Flag> trust) {
        var flag =
                switch (problem.part()) {
                    case CERTIFICATES -> certificates;
                    case KEY -> key;
                    case TRUST -> trust.orElseThrow();
                };
        var allowed =
                switch (problem.part()) {
                    case CERTIFICATES -> CERTIFICATES;
                    case KEY -> KEY;
                    case TRUST -> TRUST;
                };
        var because = " (" + problem.what() + ")";
        reader.addProblem(flag.name(), problem.file().toString(), allowed + because);
    }

    private static void require(
            SettingsReader reader, Flag flag, Optional<Path> path, String allowed) {
        if (path.isEmpty()) {
            reader.addProblem(flag.name(), "", allowed + ", as others of TLS are given");
        }
    }

    private static Optional<Path> path(SettingsReader reader, Flag flag, String allowed) {
        var text = reader.text(flag.name(), flag.given(), "");
        if (text.isBlank()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Path.of(text));
        } catch (InvalidPathException e) {
            reader.addProblem(flag.name(), text, allowed);
            return Optional.empty();
        }
    }
}
