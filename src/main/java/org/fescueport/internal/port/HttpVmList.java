package org.fescueport.internal.port;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.port.PlatformException;
import org.fescueport.port.VmList;

/** The platform's list of VMs over HTTP. */
public final class HttpVmList implements VmList {
    private static final String PATH = "/v1/vms";

    private static final int NOT_MODIFIED = 304;

    /** The last list that was read whole. */
    private record Known(String entityTag, List<Vm> vms) {}

    private final PlatformHttp mHttp;
    private volatile Known mKnown = new Known("", List.of());

    private HttpVmList(PlatformHttp http) {
        mHttp = http;
    }

    /** Returns the list at a base URL. */
    public static HttpVmList of(HttpCaller caller, String baseUrl, Duration timeout) {
        return new HttpVmList(new PlatformHttp(caller, baseUrl, timeout));
    }

    /** Asks with the tag of the last list, so that one that has not changed costs no body. */
    @Override
    public CompletableFuture<List<Vm>> list() {
        var known = mKnown;
        return mHttp.getIfChanged(PATH, known.entityTag())
                .thenApply(
                        response ->
                                response.status() == NOT_MODIFIED
                                        ? known.vms()
                                        : read(response).vms());
    }

    private Known read(HttpCaller.Response response) {
        List<Vm> vms = new ArrayList<>();
        PlatformHttp.json(PATH, response.body()).path("vms").forEach(vm -> vms.add(vm(vm)));
        var known = new Known(response.entityTag(), List.copyOf(vms));
        mKnown = known;
        return known;
    }

    private static Vm vm(JsonNode node) {
        Map<String, String> labels = new HashMap<>();
        node.path("labels")
                .properties()
                .forEach(label -> labels.put(label.getKey(), label.getValue().asText()));
        return new Vm(
                node.path("id").asText(),
                node.path("address").asText(),
                node.path("failureDomain").asText(),
                state(node.path("state").asText()),
                Map.copyOf(labels));
    }

    private static State state(String text) {
        return switch (text) {
            case "live" -> State.LIVE;
            case "leaving" -> State.LEAVING;
            default -> {
                String what = PATH + " names the unknown state \"" + text + "\" of a VM.";
                throw PlatformHttp.failed(PlatformException.didNotHappen(what, null));
            }
        };
    }
}
