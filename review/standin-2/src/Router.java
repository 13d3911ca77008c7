import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The router of one edge machine: a process that the command of the deploy file starts. */
final class Router implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final String mName;
    private final Path mFolder;
    private final Path mSettings;
    private final int mFrontend;
    private final int mReady;
    private final int mControl;
    private final int mMetrics;
    private final Log mLog;
    private Process mProcess;

    private Router(String name, Path folder, int[] ports, Log log) {
        mName = name;
        mFolder = folder;
        mSettings = folder.resolve(name + ".json");
        mFrontend = ports[0];
        mReady = ports[1];
        mControl = ports[2];
        mMetrics = ports[3];
        mLog = log;
    }

    /** Returns routers that have not been started; the first three are the seeds of all. */
    static List<Router> create(
            int count, Path folder, List<String> zones, int storePort, String bounds, Log log)
            throws IOException {
        List<Router> routers = new ArrayList<>();
        int[] ports = freePorts(4 * count);
        for (int i = 0; i < count; i++) {
            int[] own = java.util.Arrays.copyOfRange(ports, 4 * i, 4 * i + 4);
            routers.add(new Router("edge-" + (i + 1), folder, own, log));
        }
        List<String> seeds =
                routers.stream().limit(3).map(r -> "\"127.0.0.1:" + r.mControl + "\"").toList();
        for (int i = 0; i < count; i++) {
            String zone = zones.get(i % zones.size());
            routers.get(i).writeSettings(zone, zones, seeds, storePort, bounds);
        }
        return routers;
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
        }
        int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private void writeSettings(
            String zone, List<String> zones, List<String> seeds, int storePort, String bounds)
            throws IOException {
        String zoneTable =
                String.join(",", zones.stream().map(z -> "\"" + z + "\":\"region\"").toList());
        Files.writeString(
                mSettings,
                """
                {"node_name":"%s","role":"router","machine_class":"edge",
                 "serves":["edge","control_plane"],"ip":"127.0.0.1","zone":"%s","region":"region",
                 "zones":{%s},
                 "listen":{"frontend":"127.0.0.1:%d","ready":"127.0.0.1:%d","control":"127.0.0.1:%d"},
                 "port_range":[%d,%d],"seeds":[%s],"bootstrap":false,
                 "limits":{"cpu_share":0.57,"cores":1,"memory_mb":430,"max_fds":4100},
                 "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
                 "contracts":["base","drain","config","cost","retry","recover","engine","stream",
                  "tenants","platform"],
                 "bounds":%s,
                 "platform":{"address":"127.0.0.1:%d","form":"log","writes_per_s":400,
                  "reads_per_s":2000}}
                """
                        .formatted(
                                mName, zone, zoneTable, mFrontend, mReady, mControl, mMetrics,
                                mMetrics, String.join(",", seeds), bounds, storePort));
    }

    String name() {
        return mName;
    }

    int frontend() {
        return mFrontend;
    }

    /** Starts the process with the command of the deploy file. */
    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        var builder = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("FESCUEPORT_SETTINGS", mSettings.toString());
        environment.put("FESCUE_METRICS_PORT", Integer.toString(mMetrics));
        builder.redirectErrorStream(true);
        Path output = mFolder.resolve(mName + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        mProcess = builder.start();
        Process started = mProcess;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Waits until the router says that it is ready; returns false if it never does. */
    boolean awaitReady() throws InterruptedException {
        long until = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (System.nanoTime() - until < 0) {
            if (Consumer.get(mReady, "/api/readyz") == 200) {
                mLog.line("%s is ready", mName);
                return true;
            }
            Thread.sleep(50);
        }
        mLog.line("%s does not become ready", mName);
        return false;
    }

    /** Sends SIGTERM and waits for the end of the process, at most for the grace period. */
    void terminate(long graceMillis) throws InterruptedException {
        mLog.line("%s gets SIGTERM", mName);
        mProcess.destroy();
        if (!mProcess.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
            mLog.line("%s gets SIGKILL after the grace period", mName);
            kill();
        }
        mLog.line("%s has ended", mName);
    }

    /** Changes the settings file and sends SIGHUP. */
    void hangUp(String from, String to) throws IOException, InterruptedException {
        Files.writeString(mSettings, Files.readString(mSettings).replace(from, to));
        new ProcessBuilder("kill", "-HUP", Long.toString(mProcess.pid())).start().waitFor();
        mLog.line("%s gets SIGHUP, its settings file has changed", mName);
    }

    /** Sends SIGKILL and doesn't wait. */
    void signalKill() {
        mProcess.destroyForcibly();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        if (mProcess != null) {
            kill();
        }
    }
}
