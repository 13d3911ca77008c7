package org.fescueport.internal.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reads settings from flags and, where a flag is absent, from environment variables, and gathers
 * every wrong one.
 *
 * <pre>{@code
 * var reader = SettingsReader.of(System.getenv());
 * var listen = reader.address("--listen", mListen, "127.0.0.1:0");
 * var limit = reader.integer("--in-flight", mInFlight, 64, 1, 10_000);
 * reader.requireValid();
 * }</pre>
 */
public final class SettingsReader {
    private static final String VARIABLE_PREFIX = "FESCUE_";

    private final Map<String, String> mEnvironment;
    private final List<String> mProblems = new ArrayList<>();

    private SettingsReader(Map<String, String> environment) {
        mEnvironment = Map.copyOf(environment);
    }

    /** Returns a reader that falls back to these environment variables. */
    public static SettingsReader of(Map<String, String> environment) {
        return new SettingsReader(environment);
    }

    /** Returns the environment variable for a flag: {@code --log-url} gives FESCUE_LOG_URL. */
    public static String variableOf(String flag) {
        var name = flag.replaceFirst("^--", "").replace('-', '_');
        return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT);
    }

    /** Reads a text; {@code fallback} may be empty. */
    public String text(String flag, String given, String fallback) {
        return raw(flag, given).orElse(fallback);
    }

    /** Reads a text that must be given. */
    public String requiredText(String flag, String given) {
        var value = raw(flag, given).orElse("");
        if (value.isBlank()) {
            addProblem(flag, value, "a text that is not empty");
        }
        return value;
    }

    /** Reads an IP address and port, such as {@code 127.0.0.1:8080}; port 0 takes a free one. */
    public InetSocketAddress address(String flag, String given, String fallback) {
        return parse(
                flag,
                given,
                fallback,
                "an IP address and port such as 127.0.0.1:8080",
                SettingsReader::parseAddress);
    }

    /** Reads an http or https URL; {@code fallback} may be empty when the setting is optional. */
    public Optional<URI> url(String flag, String given) {
        var value = raw(flag, given);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        return Optional.ofNullable(
                parse(flag, given, "", "a URL such as http://10.0.0.5:8080", this::parseUrl));
    }

    /** Reads the path of a file; empty when none is given. */
    public Optional<Path> file(String flag, String given) {
        var text = raw(flag, given).orElse("");
        if (text.isBlank()) {
            return Optional.empty();
        }
        // An InvalidPathException is an IllegalArgumentException.
        return Optional.ofNullable(parse(flag, given, "", "the path of a file", Path::of));
    }

    /** Reads a URL that must be given. */
    public URI requiredUrl(String flag, String given) {
        return parse(flag, given, "", "a URL such as http://10.0.0.5:8080", this::parseUrl);
    }

    /** Reads a whole number from {@code least} to {@code most}. */
    public int integer(String flag, String given, int fallback, int least, int most) {
        var allowed = "a whole number from " + least + " to " + most;
        var value =
                parse(
                        flag,
                        given,
                        Integer.toString(fallback),
                        allowed,
                        text -> {
                            int number = Integer.parseInt(text);
                            return number < least || number > most ? null : number;
                        });
        return value == null ? fallback : value;
    }

    /** Reads a duration in milliseconds from {@code least} to {@code most}. */
    public Duration millis(String flag, String given, int fallback, int least, int most) {
        return Duration.ofMillis(integer(flag, given, fallback, least, most));
    }

    /** Records a problem that a caller found itself, such as two settings that contradict. */
    public void addProblem(String flag, String value, String allowed) {
        mProblems.add(
                flag
                        + " (or "
                        + variableOf(flag)
                        + ") is \""
                        + value
                        + "\"; allowed is "
                        + allowed
                        + ".");
    }

    /** Throws one error that lists every wrong setting. */
    public void requireValid() {
        if (!mProblems.isEmpty()) {
            throw SettingsException.of(mProblems);
        }
    }

    private Optional<String> raw(String flag, String given) {
        if (given != null) {
            return Optional.of(given);
        }
        return Optional.ofNullable(mEnvironment.get(variableOf(flag)));
    }

    private <T> T parse(
            String flag,
            String given,
            String fallback,
            String allowed,
            Function<String, T> parser) {
        var value = raw(flag, given).orElse(fallback);
        T parsed = null;
        try {
            parsed = parser.apply(value);
        } catch (IllegalArgumentException e) {
            // Reported below, as any value that the parser turns down.
        }
        if (parsed == null) {
            addProblem(flag, value, allowed);
        }
        return parsed;
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return null;
        }
        var host = text.substring(0, colon).replaceAll("[\\[\\]]", "");
        int port = Integer.parseInt(text.substring(colon + 1));
        boolean isNumeric = host.matches("[0-9.]+") || host.contains(":");
        return isNumeric ? new InetSocketAddress(host, port) : null;
    }

    private URI parseUrl(String text) {
        var url = URI.create(text);
        boolean isHttp = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
        return isHttp && url.getHost() != null ? url : null;
    }
}
