package org.fescueport.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.platform.PlatformException;
import org.fescueport.platform.VmList;

/** The platform's list of VMs over HTTP. */
public final class HttpVmList implements VmList {
    private static final String PATH = "/v1/vms";

    private final PlatformHttp mHttp;

    private HttpVmList(PlatformHttp http) {
        mHttp = http;
    }

    /** Returns the list at a base URL. */
    public static HttpVmList of(HttpCaller caller, String baseUrl, Duration timeout) {
        return new HttpVmList(new PlatformHttp(caller, baseUrl, timeout));
    }

    @Override
    public CompletableFuture<List<Vm>> list() {
        return mHttp.get(
                PATH,
                node -> {
                    List<Vm> vms = new ArrayList<>();
                    node.path("vms").forEach(vm -> vms.add(vm(vm)));
                    return List.copyOf(vms);
                });
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
