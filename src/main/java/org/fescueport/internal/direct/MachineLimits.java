package org.fescueport.internal.direct;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.fescueport.internal.direct.log.EventLog;

/**
 * What callers may take of this process, so that neither descriptors nor memory run out.
 *
 * <pre>{@code
 * var limits = MachineLimits.of(settings.sockets(), log);
 * }</pre>
 *
 * @param callers connections of callers at a time
 * @param bodyBytes bytes of callers' bodies that are held at a time
 * @param headBytes memory that the heads of callers' requests take at a time
 */
public record MachineLimits(int callers, long bodyBytes, long headBytes) {
    /** Of the open files; the rest is for replicas, peers and the store. */
    private static final double CALLERS_PART = 0.6;

    /** Of the heap; a body is held until its answer is complete, and is copied once to be sent. */
    private static final double BODIES_PART = 0.25;

    /** Of the heap; several thousand ordinary heads fit into the smallest deployed one. */
    private static final double HEADS_PART = 0.15;

    /**
     * Of the bytes for bodies, which are held twice; so that both take five eighths of the heap.
     */
    private static final double UNREAD_PART_OF_BODIES = 0.5;

    /** What Linux allows a process that was given no other limit. */
    private static final int STANDARD_FILES = 1_024;

    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern FILES = Pattern.compile("Max open files +([0-9]+) .*");

    /**
     * Returns the limits that follow from the heap and from the sockets of this process.
     *
     * @param sockets as the settings tell; where they do not, this process's own limit of open
     *     files holds
     */
    public static MachineLimits of(OptionalInt sockets, EventLog log) {
        long heap = Runtime.getRuntime().maxMemory();
        long most = sockets.isPresent() ? sockets.getAsInt() : openFiles(log);
        var limits =
                new MachineLimits(
                        (int) (CALLERS_PART * most),
                        (long) (BODIES_PART * heap),
                        (long) (HEADS_PART * heap));
        log.change("machine-limits")
                .with("source", sockets.isPresent() ? "settings" : "process")
                .with("sockets", most)
                .with("callers", limits.callers())
                .with("body_bytes", limits.bodyBytes())
                .with("head_bytes", limits.headBytes())
                .with("unread_bytes", limits.unreadBytes())
                .write();
        return limits;
    }

    /** Returns how many bytes of responses are held at a time for callers that read slowly. */
    public long unreadBytes() {
        return (long) (UNREAD_PART_OF_BODIES * bodyBytes);
    }

    /** Where the limit can't be read the least one that is usual holds. */
    private static long openFiles(EventLog log) {
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.map(FILES::matcher)
                    .filter(Matcher::matches)
                    .mapToLong(found -> Long.parseLong(found.group(1)))
                    .map(files -> Math.min(files, Integer.MAX_VALUE))
                    .findFirst()
                    .orElse(STANDARD_FILES);
        } catch (IOException e) {
            log.change("open-files-unknown")
                    .with("assumed", STANDARD_FILES)
                    .with("cause", e)
                    .write();
            return STANDARD_FILES;
        }
    }
}
