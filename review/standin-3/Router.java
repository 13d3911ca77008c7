import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One edge machine: the router's process, started with the command of the deploy file. */
final class Router {
    final String name;
    final InetSocketAddress frontend;
    private final InetSocketAddress mReady;
    private final Path mSettings;
    private final Path mLog;
    private final int mMetricsPort;
    private final List<String> mCommand;
    private Process mProcess;
    private volatile long mStartedNanos;
    private volatile boolean mDisturbed = true;

    /**
     * @param ports of the front end, of the health check, for other nodes, and for metrics
     */
    Router(int number, String zone, int[] ports, String settings, Path folder) throws IOException {
        name = "edge-" + number;
        String ip = ip(number);
        frontend = new InetSocketAddress(ip, ports[0]);
        mReady = new InetSocketAddress(ip, ports[1]);
        mMetricsPort = ports[3];
        mSettings = folder.resolve(name + ".json");
        mLog = folder.resolve(name + ".log");
        Files.writeString(
                mSettings,
                settings.replace("NODE", name)
                        .replace("ZONE", zone)
                        .replace("LISTEN_IP", ip)
                        .replace("FRONTEND", ip + ":" + ports[0])
                        .replace("READY", ip + ":" + ports[1])
                        .replace("CONTROL", ip + ":" + ports[2]));
        mCommand = command();
    }

    static String ip(int number) {
        return "127.0.1." + number;
    }

    /** Returns the words of the deploy file's line. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml names no command");
    }

    synchronized void start() throws IOException {
        var builder = new ProcessBuilder(new ArrayList<>(mCommand));
        builder.environment().clear();
        builder.environment()
                .putAll(
                        Map.of(
                                "PATH",
                                System.getenv("PATH"),
                                "HOME",
                                System.getProperty("java.io.tmpdir"),
                                "FESCUEPORT_SETTINGS",
                                mSettings.toString(),
                                "FESCUE_METRICS_PORT",
                                Integer.toString(mMetricsPort)));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
        mStartedNanos = System.nanoTime();
        mDisturbed = false;
    }

    /** SIGKILL. */
    synchronized void kill() {
        mDisturbed = true;
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    /** SIGTERM, then SIGKILL after the grace period. */
    void stop(long graceMillis) throws InterruptedException {
        mDisturbed = true;
        mProcess.destroy();
        if (!mProcess.waitFor(graceMillis, java.util.concurrent.TimeUnit.MILLISECONDS)) {
            mProcess.destroyForcibly().waitFor();
        }
    }

    void awaitEnd() throws InterruptedException {
        if (mProcess != null) {
            mProcess.waitFor();
        }
    }

    long pid() {
        return mProcess.pid();
    }

    boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Returns whether the process has run undisturbed for this time. */
    boolean ranFor(long millis) {
        return !mDisturbed
                && isAlive()
                && System.nanoTime() - mStartedNanos >= millis * 1_000_000;
    }

    boolean isReady() {
        try {
            return ask(mReady, "GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n", 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws IOException {
        long until = System.nanoTime() + 20_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > until) {
                throw new IOException(name + " is not ready after 20 s");
            }
            Replica.pause(50);
        }
    }

    /** Sends a request on a new connection and returns its answer. */
    Http.Answer send(String request, long timeoutMillis) throws IOException {
        return ask(frontend, request, timeoutMillis);
    }

    private static Http.Answer ask(InetSocketAddress address, String request, long timeoutMillis)
            throws IOException {
        try (var socket = new Socket()) {
            socket.connect(address, 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) timeoutMillis);
            socket.getOutputStream().write(request.getBytes());
            return Http.readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }
}
