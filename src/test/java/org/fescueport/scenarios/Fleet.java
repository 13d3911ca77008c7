package org.fescueport.scenarios;

import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

    /** A router and where callers reach it. */
    record Router(String name, Program program, String url) {}

    static final String MODEL = "gauge-notes";
    static final String SERVICE = "booking";

    private static final String TOKEN_KEYS = "1:MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY";
    private static final Path DECLARATIONS = Path.of("examples", "demo");
    private static final long READY_SECONDS = 30;
    private static final long READY_CHECK_MILLIS = 50;

    private final List<Program> mPrograms = new ArrayList<>();
    private final Map<String, String> mBackends = new LinkedHashMap<>();
    private final Map<String, Program> mEngines = new LinkedHashMap<>();
    private final Map<String, Vm> mVms = new LinkedHashMap<>();
    private final List<Router> mRouters = new ArrayList<>();
    private String mLogUrl;
    private String mVmsUrl;
    private String mTracesUrl;

    private Fleet() {}

    /**
     * Starts a fleet and waits until its routers are ready.
     *
     * @param killable whether each engine is a process of its own; else all share one
     */
    static Fleet start(int routers, int engines, int services, boolean killable)
            throws InterruptedException {
        var fleet = new Fleet();
        try {
            fleet.startPlatform(killable ? 0 : engines, services);
            if (killable) {
                fleet.startEngines(engines);
            }
            fleet.publish();
            fleet.startAgents();
            fleet.startRouters(routers);
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

    void setLogFaults(String json) {
        Http.put(mLogUrl + "/v1/faults", json);
    }

    /** Tells the list of VMs that this one is live or leaving. */
    void list(Vm vm, String state) {
        putVm(vm.name(), state, "agent", vm.agentPort(), poolOf(vm.name()));
    }

    @Override
    public void close() {
        mPrograms.forEach(Program::close);
    }

    private void startPlatform(int engines, int services) throws InterruptedException {
        var counts = List.of("--engines", "" + engines, "--services", "" + services);
        var arguments = new ArrayList<>(List.of("all", "--step-millis", "5"));
        arguments.addAll(counts);
        var platform = start("platform", StandinMain.class, arguments);
        mLogUrl = platform.awaitUrl("log");
        mVmsUrl = platform.awaitUrl("vms");
        mTracesUrl = platform.awaitUrl("collector");
        for (int i = 1; i <= engines; i++) {
            mBackends.put("engine-" + i, platform.awaitUrl("engine-" + i));
        }
        for (int i = 1; i <= services; i++) {
            mBackends.put("service-" + i, platform.awaitUrl("service-" + i));
        }
    }

    private void startEngines(int count) throws InterruptedException {
        for (int i = 1; i <= count; i++) {
            var name = "engine-" + i;
            var arguments = List.of("engine", "--step-millis", "5");
            mEngines.put(name, start(name, StandinMain.class, arguments));
        }
        for (var engine : mEngines.entrySet()) {
            mBackends.put(engine.getKey(), engine.getValue().awaitUrl(""));
        }
    }

    private void publish() throws InterruptedException {
        var publisher =
                start(
                        "publish",
                        CtlMain.class,
                        List.of("publish", "--log-url", mLogUrl, DECLARATIONS.toString()));
        if (publisher.awaitExit(READY_SECONDS) != 0) {
            throw new AssertionError("the declarations were not published");
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
            agents.put(name, start("agent-" + name, AgentMain.class, arguments));
        }
        for (var agent : agents.entrySet()) {
            var name = agent.getKey();
            int port = URI.create(agent.getValue().awaitUrl("")).getPort();
            var vm = new Vm(name, mEngines.get(name), mBackends.get(name), agent.getValue(), port);
            mVms.put(name, vm);
            list(vm, "live");
        }
    }

    private void startRouters(int count) throws InterruptedException {
        var programs = new ArrayList<Program>();
        for (int i = 1; i <= count; i++) {
            programs.add(start("router-" + i, RouterMain.class, nodeArguments("router-" + i)));
        }
        for (var program : programs) {
            var router = new Router(program.name(), program, program.awaitUrl(""));
            mRouters.add(router);
            putVm(router.name(), "live", "router", URI.create(router.url()).getPort(), "");
        }
        for (var router : mRouters) {
            awaitReady(router);
        }
    }

    private List<String> nodeArguments(String node) {
        var arguments = new ArrayList<String>();
        arguments.addAll(List.of("--node", node));
        arguments.addAll(List.of("--failure-domain", "domain-" + node.charAt(node.length() - 1)));
        arguments.addAll(List.of("--log-url", mLogUrl));
        arguments.addAll(List.of("--vms-url", mVmsUrl));
        arguments.addAll(List.of("--traces-url", mTracesUrl));
        arguments.addAll(List.of("--token-keys", TOKEN_KEYS));
        return arguments;
    }

    private static void awaitReady(Router router) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        while (Http.send("GET", router.url() + "/readyz", "", Map.of()).join().statusCode()
                != 200) {
            if (System.nanoTime() > end) {
                throw new AssertionError(router.name() + " is not ready");
            }
            Thread.sleep(READY_CHECK_MILLIS);
        }
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
