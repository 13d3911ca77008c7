package org.fescueport.internal.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.Json;

/** Orders that an engine carried out, with or without a check of the fencing token. */
final class Orders {
    private record Order(String kind, String subject, long fencingToken) {}

    private static final int KEPT_ORDERS = 256;

    private final boolean mChecks;
    private final ArrayDeque<Order> mOrders = new ArrayDeque<>();
    private long mHighestToken;
    private long mRefused;
    private String mVersion = "";

    private Orders(boolean checks) {
        mChecks = checks;
    }

    static Orders create(boolean checks) {
        return new Orders(checks);
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

    /** Returns what the engine loaded last. */
    synchronized String version() {
        return mVersion;
    }

    synchronized ObjectNode toJson() {
        var body = Json.object().put("refused", mRefused);
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
        }
        mOrders.add(order);
        if (mOrders.size() > KEPT_ORDERS) {
            mOrders.remove();
        }
        return true;
    }
}
