import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The platform's store, some routers, and the record of one case. */
final class Stage implements AutoCloseable {
    /** The exit codes of a case; play.sh turns them into those of its script. */
    static final int HELD = 0;

    static final int BROKEN = 10;
    static final int NOT_RUN = 20;

    private static final int FIRST_PORT = 17_000;
    private static final int LAST_PORT = 29_000;
    private static final int PORTS = 6;
    private static final int MAX_REPLICAS = 16;
    private static final String STORE_IP = "127.0.2.1";

    final Store store;
    final List<Router> routers = new ArrayList<>();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path mFolder;
    private final PrintWriter mRecord;
    private final long mStartNanos = System.nanoTime();
    private final int mBasePort;

    /**
     * @param record file of the case
     * @param bounds further bounds of the settings, each behind a comma
     * @param contracts further contracts, each behind a comma
     * @param zones one for each router
     */
    Stage(Path record, String bounds, String contracts, int seeds, String... zones)
            throws IOException {
        mFolder = Files.createTempDirectory("fescueport-case");
        mRecord = new PrintWriter(Files.newBufferedWriter(record));
        mBasePort = freePorts(zones.length);
        var storeAddress = new InetSocketAddress(STORE_IP, mBasePort);
        store = new Store(storeAddress);
        int[] ports = {mBasePort + 1, mBasePort + 2, mBasePort + 3, mBasePort + 4};
        var seedList = new StringBuilder();
        for (int i = 1; i <= seeds; i++) {
            seedList.append(i == 1 ? "" : ",")
                    .append("\"" + Router.ip(i) + ":" + ports[2] + "\"");
        }
        String settings =
                "{\"node_name\":\"NODE\",\"role\":\"router\",\"machine_class\":\"edge\",\"serves\":[\"edge\",\"control_plane\"],\"ip\":\"LISTEN_IP\",\"zone\":\"ZONE\",\"region\":\"r\",\"listen\":{\"frontend\":\"FRONTEND\",\"ready\":\"READY\",\"control\":\"CONTROL\"},\"port_range\":[7340,7355],\"seeds\":["
                        + seedList
                        + "],\"bootstrap\":true,\"limits\":{\"cpu_share\":0.57,\"cores\":1,\"memory_mb\":430,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\""
                        + contracts
                        + "],\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_ms\":2000,\"rollback_slack_ms\":250,\"outer_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":56,\"recover_s\":12"
                        + bounds
                        + "},\"platform\":{\"address\":\""
                        + STORE_IP
                        + ":"
                        + mBasePort
                        + "\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000,\"parts\":24,\"append_ms\":1.0,\"keep_s\":300}}";
        for (int i = 0; i < zones.length; i++) {
            routers.add(new Router(i + 1, zones[i], ports, settings, mFolder));
        }
    }

    /** Returns an address for a replica. */
    InetSocketAddress replicaAddress(int number) {
        return new InetSocketAddress(replicaIp(number), mBasePort + 5);
    }

    /** Returns the port at which the other nodes reach each router. */
    int controlPort() {
        return mBasePort + 3;
    }

    void startAll() throws IOException {
        for (Router router : routers) {
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
        say("all " + routers.size() + " routers are ready");
    }

    /** Writes a line with the time since the start. */
    void say(String line) {
        synchronized (mRecord) {
            mRecord.printf("%8.3f %s%n", now() / 1_000.0, line);
            mRecord.flush();
        }
    }

    /** Returns the milliseconds since the start. */
    double now() {
        return (System.nanoTime() - mStartNanos) / 1e6;
    }

    @Override
    public void close() throws IOException {
        routers.forEach(Router::kill);
        try {
            for (Router router : routers) {
                router.awaitEnd();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
        mRecord.close();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(mFolder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(mFolder);
        } else {
            System.err.println(mFolder);
        }
    }

    private static int freePorts(int routers) throws IOException {
        var random = new java.util.Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            int base = FIRST_PORT + random.nextInt(LAST_PORT - FIRST_PORT);
            if (areFree(base, routers)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    /** Tries the ports on each loopback address that the case may use. */
    private static boolean areFree(int base, int routers) {
        List<String> addresses = new ArrayList<>(List.of(STORE_IP));
        for (int i = 1; i <= routers; i++) {
            addresses.add(Router.ip(i));
        }
        for (int i = 1; i <= MAX_REPLICAS; i++) {
            addresses.add(replicaIp(i));
        }
        for (String address : addresses) {
            for (int port = base; port < base + PORTS; port++) {
                try (var probe = new ServerSocket()) {
                    probe.setReuseAddress(true);
                    probe.bind(new InetSocketAddress(address, port), 1);
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    private static String replicaIp(int number) {
        return "127.0.3." + number;
    }
}
