package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router as a process of its own, started with the words of the deploy file. */
final class Router implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final String mName;
    private final Path mFolder;
    private final Path mSettings;
    private final int mFrontend = freePort();
    private final int mReady = freePort();
    private final int mControl = freePort();
    private final int mMetrics = freePort();
    private Process mProcess;
    private int mLives;

    /**
     * @param folder temporary folder for the settings and the output
     * @param store port of the store, or of a proxy before it
     */
    Router(String name, Path folder, int store, List<Integer> seeds) throws IOException {
        mName = name;
        mFolder = folder;
        mSettings = folder.resolve(name + ".json");
        Files.writeString(mSettings, settings(store, seeds));
    }

    private static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String name() {
        return mName;
    }

    int control() {
        return mControl;
    }

    InetSocketAddress frontend() {
        return new InetSocketAddress("127.0.0.1", mFrontend);
    }

    Router start() throws IOException {
        Path root = Path.of("").toAbsolutePath();
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file names no program");
        }
        List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
        words.set(0, root.resolve(words.getFirst()).toString());
        var builder = new ProcessBuilder(words).directory(root.toFile());
        builder.environment().clear();
        builder.environment().put("PATH", System.getenv().getOrDefault("PATH", ""));
        builder.environment().put("FESCUEPORT_SETTINGS", mSettings.toString());
        builder.environment().put("FESCUE_METRICS_PORT", Integer.toString(mMetrics));
        builder.redirectErrorStream(true);
        mLives++;
        builder.redirectOutput(mFolder.resolve(mName + "." + mLives + ".log").toFile());
        mProcess = builder.start();
        return this;
    }

    boolean isReady() {
        try (var caller = new Caller(new InetSocketAddress("127.0.0.1", mReady))) {
            return caller.ask("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    Router awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 150; i++) {
            if (isReady()) {
                return this;
            }
            Thread.sleep(100);
        }
        throw new IOException(mName + " is not ready: see its output");
    }

    /** Returns what the present life has written. */
    String output() throws IOException {
        return Files.readString(mFolder.resolve(mName + "." + mLives + ".log"));
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    @Override
    public void close() throws IOException {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private String settings(int store, List<Integer> seeds) {
        List<String> texts = seeds.stream().map(seed -> "\"127.0.0.1:" + seed + "\"").toList();
        return """
        {"node_name":"%s","role":"router","machine_class":"edge","serves":["edge","control_plane"],
         "ip":"127.0.0.1","zone":"north","region":"home","zones":{"north":"home"},
         "listen":{"frontend":"127.0.0.1:%d","ready":"127.0.0.1:%d","control":"127.0.0.1:%d"},
         "port_range":[7340,7355],"seeds":[%s],"bootstrap":true,"counts_as_loss":false,
         "limits":{"cpu_share":0.57,"cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,
          "disk_mb":0},
         "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
         "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants",
          "platform"],
         "fault_tolerance":{"machines":1,"zones":0,"regions":0},
         "bounds":{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,
          "catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,
          "rollback_slack_ms":250,"outer_ms":5000,"strict_revoke":false,"revoke_ms":5000,
          "retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":56,"recover_s":12,
          "pass_ms":120,"reuse_window_s":10,"cap_factor":2},
         "platform":{"address":"127.0.0.1:%d","form":"log","writes_per_s":400,"reads_per_s":2000,
          "parts":24,"append_ms":1.0,"ingress_per_s":20.0,"egress_per_s":80.0,
          "record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,
          "ttl_min_ms":1000}}
        """
                .formatted(
                        mName, mFrontend, mReady, mControl, String.join(",", texts), store);
    }
}
