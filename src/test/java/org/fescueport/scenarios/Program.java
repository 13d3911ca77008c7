package org.fescueport.scenarios;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of this system that a scenario started; signals go to it alone, by its id. */
final class Program implements AutoCloseable {
    private static final Path LOGS = Path.of("target", "scenarios");
    private static final long START_SECONDS = 30;
    private static final String ENDED = "(the output ended)";

    private final String mName;
    private final Process mProcess;
    private final LinkedBlockingQueue<String> mLines = new LinkedBlockingQueue<>();

    private Program(String name, Process process) {
        mName = name;
        mProcess = process;
        Thread.ofPlatform().daemon().start(this::readLines);
    }

    /** Starts a program; what it writes to its error stream goes to a file of its name. */
    static Program start(String name, Class<?> main, List<String> arguments) {
        var command = new ArrayList<String>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("--enable-native-access=ALL-UNNAMED"));
        command.addAll(List.of("--sun-misc-unsafe-memory-access=allow"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
        command.addAll(arguments);
        try {
            Files.createDirectories(LOGS);
            var log = LOGS.resolve(name + ".log").toFile();
            var builder = new ProcessBuilder(command);
            return new Program(name, builder.redirectError(log).start());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    /** Waits for a line of output that matches and returns the match. */
    Matcher awaitLine(String pattern) throws InterruptedException {
        var regex = Pattern.compile(pattern);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (true) {
            var line = mLines.poll(end - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (line == null || line.equals(ENDED)) {
                throw new AssertionError(
                        mName + " printed no line like " + pattern + "; see " + LOGS);
            }
            var matcher = regex.matcher(line);
            if (matcher.find()) {
                return matcher;
            }
        }
    }

    /** Waits for the line that tells where the program, or its part of this name, listens. */
    String awaitUrl(String part) throws InterruptedException {
        var prefix = part.isEmpty() ? "^" : "^" + part + " ";
        return "http://" + awaitLine(prefix + "listening (\\S+)").group(1);
    }

    String name() {
        return mName;
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    void freeze() {
        signal("STOP");
    }

    void wake() {
        signal("CONT");
    }

    /** Asks for a planned stop. */
    void terminate() {
        signal("TERM");
    }

    /** Waits until the program has ended and returns its exit code. */
    int awaitExit(long seconds) throws InterruptedException {
        if (!mProcess.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new AssertionError(mName + " did not end in " + seconds + " s");
        }
        return mProcess.exitValue();
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
    }

    private void signal(String name) {
        try {
            var pid = Long.toString(mProcess.pid());
            new ProcessBuilder("kill", "-s", name, pid).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot signal " + mName, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readLines() {
        try (BufferedReader lines = mProcess.inputReader()) {
            lines.lines().forEach(mLines::add);
        } catch (IOException | UncheckedIOException e) {
            mLines.add(mName + " was ended: " + e.getMessage());
        }
        mLines.add(ENDED);
    }
}
