package org.fescueport.internal.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.Clock;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Json;

/** Orders that an engine carried out, with or without a check of the fencing token. */
final class Orders {
    private record Order(String kind, String subject, long fencingToken) {}

    private static final int KEPT_ORDERS = 256;

    private final boolean mChecks;
    private final ArrayDeque<Order> mOrders = new ArrayDeque<>();
    private long mHighestToken;
    private long mRefused;
    private final Clock mClock;
    private final FaultSwitch mFaults;
    private final IntSupplier mRunning;
    private String mVersion = "";
    private long mLoadedAtNanos;
    private long mCutOff;

    private Orders(boolean checks, Clock clock, FaultSwitch faults, IntSupplier running) {
        mChecks = checks;
        mClock = clock;
        mFaults = faults;
        mRunning = running;
        mLoadedAtNanos = clock.monotonicTime();
    }

    /** Returns an engine's orders; {@code running} tells how many sequences it runs. */
    static Orders create(boolean checks, Clock clock, FaultSwitch faults, IntSupplier running) {
        return new Orders(checks, clock, faults, running);
    }

    void handle(HttpExchange exchange) throws BadRequestException {
        var order = Json.to(Json.parse(exchange.body()), Order.class);
        if (order.kind() == null || order.subject() == null) {
            throw new BadRequestException("an order needs kind, subject and fencingToken");
        }
        if (carryOut(order)) {
            Json.respond(exchange, 200, Json.of(order));
        } else {
            Json.respondError(exchange, 409, "old_token", "a newer fencing token was seen");
        }
    }

    /** Returns what the engine loaded last; empty while it loads. */
    synchronized String version() {
        return isLoading() ? "" : mVersion;
    }

    /** Returns whether the engine loads and serves nothing. */
    synchronized boolean isLoading() {
        return mClock.monotonicTime() - mLoadedAtNanos < 0;
    }

    synchronized ObjectNode toJson() {
        var body = Json.object().put("refused", mRefused).put("cutOff", mCutOff);
        var list = body.putArray("orders");
        mOrders.forEach(order -> list.add(Json.of(order)));
        return body;
    }

    private synchronized boolean carryOut(Order order) {
        if (mChecks && order.fencingToken() < mHighestToken) {
            mRefused++;
            return false;
        }
        mHighestToken = Math.max(mHighestToken, order.fencingToken());
        if (order.kind().equals("load")) {
            mVersion = order.subject();
            mLoadedAtNanos =
                    mClock.monotonicTime()
                            + TimeUnit.MILLISECONDS.toNanos(mFaults.current().loadMillis());
            mCutOff += mRunning.getAsInt();
        }
        mOrders.add(order);
        if (mOrders.size() > KEPT_ORDERS) {
            mOrders.remove();
        }
        return true;
    }
}
