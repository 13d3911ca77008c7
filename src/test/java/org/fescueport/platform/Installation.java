package org.fescueport.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.direct.MachineLimits;
import org.fescueport.platform.RawServer.Script;

/** A store with a configuration, replicas of two services, and a router. */
public final class Installation implements AutoCloseable {
    /** Routes of each kind, each with its own path, and one team. */
    static final String CONFIGURATION =
            """
            {"version":%d,"routes":[
             {"name":"safe","hostname":"h.example","path_prefix":"/safe/","route_type":"safe",
              "timeout_ms":1500,"target_latency_ms":400,"priority":2,"service":"api",
              "max_attempts":2,"public":false},
             {"name":"unsafe","hostname":"h.example","path_prefix":"/unsafe/",
              "route_type":"unsafe","timeout_ms":1500,"target_latency_ms":400,"priority":2,
              "service":"api","max_attempts":1,"public":false},
             {"name":"once","hostname":"h.example","path_prefix":"/once/",
              "route_type":"streaming","timeout_ms":3000,"target_latency_ms":400,"priority":1,
              "service":"llm","max_attempts":1,"public":false,"resumable":false},
             {"name":"stream","hostname":"h.example","path_prefix":"/stream/",
              "route_type":"streaming","timeout_ms":3000,"target_latency_ms":400,"priority":0,
              "service":"llm","max_attempts":2,"public":false,"resumable":true,
              "gap_target_ms":250}%s],
             "services":[{"name":"api","health_path":"/healthz","max_conns":50},
              {"name":"llm","health_path":"/healthz","max_conns":50}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":100000,
              "header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"dam-operators","api_keys":["key-1"%s],"priority":1}]}""";

    private final StoreStandIn mStore;
    private final List<ReplicaStandIn> mReplicas = new ArrayList<>();
    private final TestRouter mRouter;

    private Installation(StoreStandIn store, Script api, Script llm, MachineLimits limits)
            throws IOException {
        mStore = store;
        store.configure(configuration(1));
        for (int i = 1; i <= 2; i++) {
            mReplicas.add(ReplicaStandIn.start("api-" + i, "api", api));
            mReplicas.add(ReplicaStandIn.start("llm-" + i, "llm", llm));
        }
        mReplicas.forEach(replica -> replica.register(store, "ready"));
        mRouter = TestRouter.start("edge-1", store.address(), limits).awaitReady();
    }

    /** Starts all; every replica of a service answers by its script. */
    static Installation start(Script api, Script llm) throws IOException {
        return start(
                api,
                llm,
                new MachineLimits(
                        TestRouter.MAX_CALLERS,
                        TestRouter.MAX_BODY_BYTES,
                        TestRouter.MAX_HEAD_BYTES));
    }

    /** Starts all, with a router that grants its callers these limits. */
    static Installation start(Script api, Script llm, MachineLimits limits) throws IOException {
        return new Installation(StoreStandIn.start(), api, llm, limits);
    }

    public static String configuration(int version) {
        return CONFIGURATION.formatted(version, "", "");
    }

    /** Returns the same with one key more for the team. */
    public static String configuration(int version, String key) {
        return CONFIGURATION.formatted(version, "", ",\"" + key + "\"");
    }

    /** Starts another node that knows this router alone, as this store turns it away. */
    TestRouter startTurnedAway(StoreStandIn away) throws IOException {
        away.mode(StoreStandIn.Mode.BUSY);
        return TestRouter.start("edge-2", away.address(), mRouter.peers()).awaitReady();
    }

    StoreStandIn store() {
        return mStore;
    }

    TestRouter router() {
        return mRouter;
    }

    ReplicaStandIn replica(String id) {
        return mReplicas.stream().filter(r -> r.id().equals(id)).findFirst().orElseThrow();
    }

    /** Returns the replicas of a service that it was started with. */
    List<ReplicaStandIn> replicas(String service) {
        return mReplicas.stream().filter(replica -> replica.id().startsWith(service)).toList();
    }

    /** Returns how many requests replicas of a service were sent. */
    int arrivals(String service) {
        return replicas(service).stream().mapToInt(replica -> replica.requests().size()).sum();
    }

    RawCaller.Answer ask(String request) throws IOException {
        return RawCaller.ask(mRouter.callers(), request);
    }

    /** Returns a request with an id, a key and a deadline. */
    static String get(String path) {
        return request("GET", path, "id-1", "");
    }

    static String post(String path, String body) {
        return request("POST", path, "id-1", body);
    }

    public static String request(String method, String path, String id, String body) {
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: h.example\r\nFescueport-Attempt-Id: "
                + id
                + "\r\nFescueport-Deadline-Ms: 2000\r\nAuthorization: Token key-1\r\n"
                + length
                + "\r\n"
                + body;
    }

    @Override
    public void close() throws IOException {
        mRouter.close();
        for (var replica : mReplicas) {
            replica.close();
        }
        mStore.close();
    }
}
