import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** The record of a case: a line for each thing that happens, with the time since its start. */
final class Log implements AutoCloseable {
    private final long mStart = System.nanoTime();
    private final PrintStream mOut;

    Log(Path file) throws IOException {
        mOut = new PrintStream(file.toFile());
    }

    synchronized void line(String format, Object... arguments) {
        double seconds = (System.nanoTime() - mStart) / 1e9;
        mOut.printf("%8.3f  %s%n", seconds, format.formatted(arguments));
        mOut.flush();
    }

    double seconds(long nanos) {
        return (nanos - mStart) / 1e9;
    }

    @Override
    public void close() {
        mOut.close();
    }
}
