package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, in one file, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private static final long START = System.nanoTime();

    private final PrintWriter mOut;

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        mOut.printf(Locale.ROOT, "%10.1f %s%n", now(), text);
        mOut.flush();
    }

    /** Writes a line that is shown on the standard output too. */
    void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
