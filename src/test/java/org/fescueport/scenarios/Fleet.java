package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.agent.AgentMain;
import org.fescueport.internal.ctl.CtlMain;
import org.fescueport.internal.router.RouterMain;
import org.fescueport.internal.standin.StandinMain;

/** A small fleet of real processes: stand-ins, backend servers, agents and routers. */
final class Fleet implements AutoCloseable {
    /**
     * A backend server with its agent; both run on the VM of this name.
     *
     * @param engine the engine, where it is a process of its own; else null
     */
    record Vm(String name, Program engine, String backendUrl, Program agent, int agentPort) {}

    /**
     * What is started.
     *
     * @param killable whether each engine is a process of its own; else all share one
     * @param proxied whether routers reach agents through proxies that can be cut
     */
    record Size(int routers, int engines, int services, boolean killable, boolean proxied) {}

    /**
     * How a fleet that places its models begins; its engines are processes of their own.
     *
     * @param checksFencing whether the engines refuse orders with older tokens
     * @param loaded engines that have an artifact loaded at the start
     * @param loadMillis time that an engine takes to load
     */
    record Placement(boolean checksFencing, int loaded, String artifact, long loadMillis) {}

    /** A router and where callers reach it. */
    record Router(String name, Program program, String url) {}

    static final String MODEL = "gauge-notes";
    static final String SERVICE = "booking";

    private static final String TOKEN_KEYS = "1:MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY";
    private static final Path DECLARATIONS = Path.of("examples", "demo");

    /** Bytes per second at which an artifact of the stand-in takes 2 s. */
    private static final String RATE = "500000";

    private static final long READY_SECONDS = 30;
    private static final long READY_CHECK_MILLIS = 50;

    private final Size mSize;
    private final Optional<FleetTls> mTls;
    private final Map<String, String> mAdmins = new LinkedHashMap<>();
    private final Optional<Placement> mPlacement;
    private final List<SocketProxy> mProxies = new ArrayList<>();
    private final List<Program> mPrograms = new ArrayList<>();
    private final Map<String, String> mBackends = new LinkedHashMap<>();
    private final Map<String, Program> mEngines = new LinkedHashMap<>();
    private final Map<String, Vm> mVms = new LinkedHashMap<>();
    private final List<Router> mRouters = new ArrayList<>();
    private String mLogUrl;
    private String mVmsUrl;
    private String mTracesUrl;
    private String mWeightsUrl;
    private SocketProxy mLogProxy;

    private Fleet(Size size, Optional<FleetTls> tls, Optional<Placement> placement) {
        mSize = size;
        mTls = tls;
        mPlacement = placement;
    }

    /**
     * Starts a fleet and waits until its routers are ready, which know all agents by then: the list
     * of VMs is in an outage until it is complete.
     */
    static Fleet start(Size size, Optional<FleetTls> tls, Optional<Placement> placement)
            throws InterruptedException {
        var fleet = new Fleet(size, tls, placement);
        try {
            fleet.startPlatform();
            var publisher = fleet.publishFirst();
            var routers = fleet.startRouters();
            fleet.startEngines();
            fleet.startAgents();
            fleet.awaitRouters(routers);
            if (publisher.awaitExit(READY_SECONDS) != 0) {
                throw new AssertionError("the declarations were not published");
            }
            fleet.awaitReady();
            return fleet;
        } catch (AssertionError | InterruptedException e) {
            fleet.close();
            throw e;
        }
    }

    Vm vm(String name) {
        return mVms.get(name);
    }

    List<Vm> vms(String role) {
        return mVms.values().stream().filter(vm -> vm.name().startsWith(role)).toList();
    }

    Router router(int number) {
        return mRouters.get(number - 1);
    }

    List<Router> routers() {
        return mRouters;
    }

    /** Returns where operators reach each router and agent, by its program's name. */
    Map<String, String> admins() {
        return mAdmins;
    }

    void setLogFaults(String json) {
        Http.put(mLogUrl + "/v1/faults", json);
    }

    long logAppends() {
        return Http.get(mLogUrl + "/v1/stats").path("appends").asLong();
    }

    /** Tells the list of VMs that this one is live or leaving. */
    void list(Vm vm, String state) {
        putVm(vm.name(), state, "agent", vm.agentPort(), poolOf(vm.name()));
    }

    /** Cuts all connections between routers and agents; new ones succeed. */
    void cutConnections() {
        mProxies.stream().filter(proxy -> proxy != mLogProxy).forEach(proxy -> proxy.cut(false));
    }

    @Override
    public void close() {
        mPrograms.forEach(Program::close);
        mProxies.forEach(SocketProxy::close);
    }

    private void startPlatform() throws InterruptedException {
        int engines = mSize.killable() ? 0 : mSize.engines();
        var arguments = new ArrayList<>(List.of("all", "--step-millis", "5"));
        arguments.addAll(List.of("--engines", "" + engines, "--services", "" + mSize.services()));
        var platform = start("platform", StandinMain.class, arguments);
        mLogUrl = platform.awaitUrl("log");
        if (mSize.proxied()) {
            mLogProxy = SocketProxy.start(URI.create(mLogUrl).getPort());
            mProxies.add(mLogProxy);
        }
        mVmsUrl = platform.awaitUrl("vms");
        Http.put(mVmsUrl + "/v1/faults", "{\"outage\":true}");
        mWeightsUrl = platform.awaitUrl("weights");
        mTracesUrl = platform.awaitUrl("collector");
        for (int i = 1; i <= engines; i++) {
            mBackends.put("engine-" + i, platform.awaitUrl("engine-" + i));
        }
        for (int i = 1; i <= mSize.services(); i++) {
            mBackends.put("service-" + i, platform.awaitUrl("service-" + i));
        }
    }

    private void startEngines() throws InterruptedException {
        int count = mSize.killable() ? mSize.engines() : 0;
        for (int i = 1; i <= count; i++) {
            var name = "engine-" + i;
            var arguments = new ArrayList<>(List.of("engine", "--step-millis", "5"));
            mPlacement.ifPresent(
                    it -> arguments.addAll(List.of("--check-fencing", "" + it.checksFencing())));
            mEngines.put(name, start(name, StandinMain.class, arguments));
        }
        for (var engine : mEngines.entrySet()) {
            mBackends.put(engine.getKey(), engine.getValue().awaitUrl(""));
        }
        mPlacement.ifPresent(this::load);
    }

    /** Publishes the declarations with another artifact of the model. */
    void publishArtifact(String artifact) throws InterruptedException {
        assertThat(
                "exit code of publish", startPublishing(artifact).awaitExit(READY_SECONDS), is(0));
    }

    Program startPublishing(String artifact) {
        var checksFencing = mPlacement.map(Placement::checksFencing).orElse(true);
        return publish(declarationsWith(artifact, checksFencing));
    }

    /** Cuts the log off from the routers that reach it through a proxy: every second one. */
    void cutLogProxy() {
        mLogProxy.cut(true);
    }

    private Program publishFirst() {
        return publish(
                mPlacement
                        .map(it -> declarationsWith(it.artifact(), it.checksFencing()))
                        .orElse(DECLARATIONS));
    }

    private Program publish(Path declarations) {
        var arguments = List.of("publish", "--log-url", mLogUrl, declarations.toString());
        return start("publish", CtlMain.class, arguments);
    }

    private static Path declarationsWith(String artifact, boolean checksFencing) {
        var fencing = "checksFencing: " + checksFencing;
        try (var files = Files.list(DECLARATIONS)) {
            var directory = Files.createTempDirectory("declarations");
            for (var file : files.toList()) {
                var text =
                        Files.readString(file)
                                .replaceAll("artifact: .*", "artifact: " + artifact)
                                .replaceAll("checksFencing: .*", fencing);
                Files.writeString(directory.resolve(file.getFileName()), text);
            }
            return directory;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write declarations", e);
        }
    }

    private void load(Placement placement) {
        int loaded = 0;
        for (var url : mBackends.values()) {
            if (loaded++ < placement.loaded()) {
                var order = Http.JSON.createObjectNode().put("kind", "load");
                order.put("subject", placement.artifact()).put("fencingToken", 0);
                Http.send("POST", url + "/v1/orders", order.toString(), Map.of()).join();
            }
            Http.put(url + "/v1/faults", "{\"loadMillis\":" + placement.loadMillis() + "}");
        }
    }

    private void startAgents() throws InterruptedException {
        var agents = new LinkedHashMap<String, Program>();
        for (var backend : mBackends.entrySet()) {
            var name = backend.getKey();
            var arguments = new ArrayList<>(nodeArguments(name));
            boolean isModel = name.startsWith("engine");
            arguments.addAll(List.of("--backend-kind", isModel ? "model" : "service"));
            arguments.addAll(List.of("--backend-url", backend.getValue()));
            arguments.addAll(List.of("--pool", poolOf(name)));
            mPlacement.ifPresent(it -> arguments.addAll(List.of("--weights-url", mWeightsUrl)));
            mPlacement.ifPresent(
                    it -> arguments.addAll(List.of("--weights-bytes-per-second", RATE)));
            agents.put(name, start("agent-" + name, AgentMain.class, arguments));
        }
        for (var agent : agents.entrySet()) {
            var name = agent.getKey();
            int port = portTo(agent.getValue());
            awaitAdmin(agent.getValue());
            var vm = new Vm(name, mEngines.get(name), mBackends.get(name), agent.getValue(), port);
            mVms.put(name, vm);
            list(vm, "live");
        }
    }

    private int portTo(Program agent) throws InterruptedException {
        int port = URI.create(agent.awaitUrl("")).getPort();
        if (!mSize.proxied()) {
            return port;
        }
        var proxy = SocketProxy.start(port);
        mProxies.add(proxy);
        return proxy.port();
    }

    private List<Program> startRouters() {
        var programs = new ArrayList<Program>();
        for (int i = 1; i <= mSize.routers(); i++) {
            programs.add(start("router-" + i, RouterMain.class, nodeArguments("router-" + i)));
        }
        return programs;
    }

    private void awaitRouters(List<Program> programs) throws InterruptedException {
        for (var program : programs) {
            var url = program.awaitUrl("");
            var scheme = mTls.isPresent() ? "https" : "http";
            var router = new Router(program.name(), program, url.replace("http", scheme));
            awaitAdmin(program);
            mRouters.add(router);
            putVm(router.name(), "live", "router", URI.create(router.url()).getPort(), "");
        }
    }

    private void awaitAdmin(Program program) throws InterruptedException {
        mAdmins.put(program.name(), "http://" + program.awaitLine("^admin (\\S+)").group(1));
    }

    private List<String> nodeArguments(String node) {
        var arguments = new ArrayList<String>();
        arguments.addAll(List.of("--node", node));
        arguments.addAll(List.of("--failure-domain", "domain-" + node.charAt(node.length() - 1)));
        arguments.addAll(List.of("--log-url", logUrlOf(node)));
        arguments.addAll(List.of("--vms-url", mVmsUrl));
        arguments.addAll(List.of("--traces-url", mTracesUrl));
        arguments.addAll(List.of("--token-keys", TOKEN_KEYS));
        mTls.ifPresent(tls -> arguments.addAll(tls.argumentsOf(node)));
        return arguments;
    }

    private String logUrlOf(String node) {
        boolean isSecond = (node.charAt(node.length() - 1) - '0') % 2 == 0;
        boolean isProxied = mLogProxy != null && node.startsWith("router") && isSecond;
        return isProxied ? "http://127.0.0.1:" + mLogProxy.port() : mLogUrl;
    }

    private void awaitReady() throws InterruptedException {
        Http.put(mVmsUrl + "/v1/faults", "{\"outage\":false}");
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        for (var router : mRouters) {
            while (!isReady(router)) {
                assertThat(router.name() + " is ready in time", System.nanoTime(), lessThan(end));
                Thread.sleep(READY_CHECK_MILLIS);
            }
        }
    }

    static boolean isReady(Router router) {
        return Http.send("GET", router.url() + "/readyz", "", Map.of()).join().statusCode() == 200;
    }

    private void putVm(String name, String state, String role, int port, String pool) {
        var vm = Http.JSON.createObjectNode();
        vm.put("address", "127.0.0.1").put("state", state);
        vm.put("failureDomain", "domain-" + name.charAt(name.length() - 1));
        vm.putObject("labels").put("role", role).put("port", "" + port).put("pool", pool);
        Http.put(mVmsUrl + "/v1/vms/" + name, vm.toString());
    }

    private Program start(String name, Class<?> main, List<String> arguments) {
        var program = Program.start(name, main, arguments);
        mPrograms.add(program);
        return program;
    }

    private static String poolOf(String vm) {
        return vm.startsWith("engine") ? MODEL : SERVICE;
    }
}
