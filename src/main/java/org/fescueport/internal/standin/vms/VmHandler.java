package org.fescueport.internal.standin.vms;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.Clock;
import java.util.Map;
import java.util.TreeMap;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Json;
import org.fescueport.internal.standin.Lagging;

/** HTTP form of the stand-in for the platform's lagging list of VMs. */
public final class VmHandler implements HttpHandler {
    /** A VM as it is put and listed. */
    private record Vm(
            String id,
            String address,
            String failureDomain,
            String state,
            Map<String, String> labels) {}

    private static final String PREFIX = "/v1/vms/";
    private static final String LIVE = "live";
    private static final String LEAVING = "leaving";
    private static final int MOST_VMS = 5000;

    private final Clock mClock;
    private final FaultSwitch mFaults;
    private final TreeMap<String, Vm> mVms = new TreeMap<>();
    private final Lagging<Map<String, Vm>> mListed = Lagging.of(Map.of());

    private VmHandler(Clock clock, FaultSwitch faults) {
        mClock = clock;
        mFaults = faults;
    }

    /** Returns an empty list. */
    public static VmHandler create(Clock clock, FaultSwitch faults) {
        return new VmHandler(clock, faults);
    }

    @Override
    public void handle(HttpExchange exchange) {
        try {
            route(exchange);
        } catch (BadRequestException e) {
            Json.respondError(exchange, 400, "bad_request", e.getMessage());
        }
    }

    private void route(HttpExchange exchange) throws BadRequestException {
        var path = exchange.path();
        if (exchange.method().equals("GET") && path.equals("/v1/vms")) {
            list(exchange);
        } else if (exchange.method().equals("PUT") && path.startsWith(PREFIX)) {
            put(path.substring(PREFIX.length()), Json.parse(exchange.body()).deepCopy());
            Json.respond(exchange, 200, Json.object());
        } else if (exchange.method().equals("DELETE") && path.startsWith(PREFIX)) {
            delete(path.substring(PREFIX.length()));
            Json.respond(exchange, 200, Json.object());
        } else {
            Json.respondError(exchange, 404, "not_found", "no such path");
        }
    }

    private void list(HttpExchange exchange) {
        var listed = mListed.get(mClock.wallTime(), mFaults.current().lagMillis());
        var tag = "\"" + Integer.toHexString(listed.hashCode()) + "\"";
        if (tag.equals(exchange.header("If-None-Match"))) {
            exchange.respond(304, Map.of("ETag", tag), new byte[0]);
            return;
        }
        var body = Json.object();
        var vms = body.putArray("vms");
        listed.values().forEach(vm -> vms.add(Json.of(vm)));
        exchange.respond(
                200, Map.of("ETag", tag, "Content-Type", "application/json"), Json.bytes(body));
    }

    private synchronized void put(String id, ObjectNode body) throws BadRequestException {
        body.put("id", id);
        if (!body.has("state")) {
            body.put("state", LIVE);
        }
        var vm = Json.to(body, Vm.class);
        if (!vm.state().equals(LIVE) && !vm.state().equals(LEAVING)) {
            throw new BadRequestException("state must be live or leaving, not " + vm.state());
        }
        if (vm.address() == null || vm.failureDomain() == null || vm.labels() == null) {
            throw new BadRequestException("a VM needs address, failureDomain and labels");
        }
        if (mVms.size() >= MOST_VMS && !mVms.containsKey(id)) {
            throw new BadRequestException("too many VMs");
        }
        mVms.put(id, vm);
        publish();
    }

    private synchronized void delete(String id) {
        mVms.remove(id);
        publish();
    }

    private void publish() {
        mListed.set(new TreeMap<>(mVms), mClock.wallTime());
    }
}
