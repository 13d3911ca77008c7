package org.fescueport.platform.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescueport.platform.EdgeMain;
import org.fescueport.platform.FreePorts;
import org.fescueport.platform.RawCaller;

/** A router as a process of its own; it is signalled by its id and by nothing else. */
final class EdgeProcess implements AutoCloseable {
    private static final int SIGHUP = 1;
    private static final int SIGTERM = 15;

    private final String mNode;
    private final Path mFolder;
    private final InetSocketAddress mStore;
    private final List<InetSocketAddress> mSeeds;
    private final InetSocketAddress mCallers = FreePorts.next();
    private final InetSocketAddress mReady = FreePorts.next();
    private final InetSocketAddress mControl;
    private Process mProcess;
    private int mLives;
    private boolean mClosed;

    EdgeProcess(
            String node,
            Path folder,
            InetSocketAddress store,
            InetSocketAddress control,
            List<InetSocketAddress> seeds)
            throws IOException {
        mNode = node;
        mFolder = folder;
        mStore = store;
        mControl = control;
        mSeeds = seeds;
    }

    InetSocketAddress callers() {
        return mCallers;
    }

    InetSocketAddress ready() {
        return mReady;
    }

    String node() {
        return mNode;
    }

    /** Names the present life of the process. */
    synchronized String life() {
        return mNode + "." + mLives;
    }

    synchronized boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Returns whether the process says that it is ready. */
    boolean isReady() {
        try (var caller = RawCaller.connect(mReady)) {
            caller.send("GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
            return caller.receive().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether a signal has ended the process before it wrote its first line. */
    boolean hasEndedWhileStarting() {
        try {
            int code = mProcess.exitValue();
            boolean signal = code == 128 + SIGHUP || code == 128 + SIGTERM;
            return signal && Files.size(log()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns what the process has written in its present life. */
    String lines() throws IOException {
        return Files.readString(log());
    }

    /** Returns the memory of the process that is in use, in bytes. */
    long residentBytes() throws IOException {
        String line =
                Files.readAllLines(Path.of("/proc/" + mProcess.pid() + "/status")).stream()
                        .filter(status -> status.startsWith("VmRSS:"))
                        .findFirst()
                        .orElseThrow();
        return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024;
    }

    /** Returns the number of the descriptors that the process has open. */
    long openDescriptors() throws IOException {
        try (var descriptors = Files.list(Path.of("/proc/" + mProcess.pid() + "/fd"))) {
            return descriptors.count();
        }
    }

    private Path log() {
        return mFolder.resolve(mNode + "." + mLives + ".log");
    }

    /** Starts the process, unless this was closed meanwhile. */
    synchronized void start() throws IOException {
        if (mClosed) {
            return;
        }
        mLives++;
        Path settings = Files.writeString(mFolder.resolve(mNode + ".json"), settings());
        var builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-XX:TieredStopAtLevel=1",
                        "-Dio.netty.allocator.type=unpooled",
                        "-Dio.netty.noPreferDirect=true",
                        "--sun-misc-unsafe-memory-access=allow",
                        "-cp",
                        System.getProperty("java.class.path"),
                        EdgeMain.class.getName());
        builder.environment().put("FESCUEPORT_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(log().toFile());
        mProcess = builder.start();
    }

    void kill() {
        mProcess.destroyForcibly();
        await(5);
    }

    /** Sends SIGTERM; returns at once. */
    void stop() {
        mProcess.destroy();
    }

    void freeze() throws IOException {
        signal("STOP");
    }

    void thaw() throws IOException {
        signal("CONT");
    }

    void hangUp() throws IOException {
        signal("HUP");
    }

    /** Returns the exit code, or -1 when the process has not ended in time. */
    int await(int seconds) {
        try {
            return mProcess.waitFor(seconds, TimeUnit.SECONDS) ? mProcess.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Ends the process; it can't be started again, whoever had meant to. */
    @Override
    public synchronized void close() {
        mClosed = true;
        if (isAlive()) {
            kill();
        }
    }

    private void signal(String name) throws IOException {
        if (mProcess.isAlive()) {
            String id = Long.toString(mProcess.pid());
            new ProcessBuilder("kill", "-" + name, id).inheritIO().start();
        }
    }

    private String settings() {
        List<String> seeds = mSeeds.stream().map(seed -> "\"" + text(seed) + "\"").toList();
        return """
        {"node_name":"%s","zone":"north","listen":{"frontend":"%s","ready":"%s","control":"%s"},
         "seeds":[%s],"bounds":{"grace_s":8,"retry_budget_ratio":0.2,"budget_slack":56,
          "budget_window_s":10,"drain_ms":2000},
         "platform":{"address":"%s"}}"""
                .formatted(
                        mNode,
                        text(mCallers),
                        text(mReady),
                        text(mControl),
                        String.join(",", seeds),
                        text(mStore));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
