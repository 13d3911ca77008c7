package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/** What every case needs: a record, a temporary folder, and an end of all that it started. */
final class Stage implements AutoCloseable {
    /** What a case returns. */
    static final int BROKEN = 1;

    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private static final long LONGEST_MS = 112_000;

    /** A case. */
    interface Case {
        /** Returns whether the rule was broken. */
        boolean play(Stage stage) throws Exception;
    }

    private final Deque<AutoCloseable> mStarted = new ArrayDeque<>();
    private final Path mFolder = Files.createTempDirectory("review");
    private final Record mRecord;
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

    private Stage(String folder) throws IOException {
        mRecord = new Record(Path.of(folder, "record.txt"));
    }

    /** Plays a case and ends the process with its result. */
    static void main(String folder, Case played) throws IOException {
        var stage = new Stage(folder);
        Runtime.getRuntime().addShutdownHook(new Thread(stage::close));
        Thread.ofPlatform().daemon().start(() -> stage.endAfter(LONGEST_MS));
        int result = NOT_RUN;
        try {
            stage.record().line("trouble: %s", stage.trouble() ? "yes" : "no");
            result = played.play(stage) ? BROKEN : HELD;
            stage.record().say("%s", result == BROKEN ? "BROKEN" : "held");
        } catch (Exception e) {
            stage.record().say("the case could not run: %s", e);
            e.printStackTrace();
        }
        System.exit(result);
    }

    private void endAfter(long millis) {
        try {
            Thread.sleep(millis);
            mRecord.say("the case could not run: it took too long");
            System.exit(NOT_RUN);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean trouble() {
        return mTrouble;
    }

    Record record() {
        return mRecord;
    }

    synchronized <T extends AutoCloseable> T started(T each) {
        mStarted.push(each);
        return each;
    }

    /** Returns a router that has not been started. */
    Router router(String name, int store, List<Integer> seeds) throws IOException {
        return started(new Router(name, mFolder, store, seeds));
    }

    @Override
    public synchronized void close() {
        while (!mStarted.isEmpty()) {
            try {
                mStarted.pop().close();
            } catch (Exception e) {
                // The others are ended all the same.
            }
        }
        try (var files = Files.walk(mFolder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            // A folder in the place for temporary files stays behind.
        }
        mRecord.close();
    }
}
