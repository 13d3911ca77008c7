package org.fescueport.internal.http;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * The JSON form of every error that is told to a caller.
 *
 * <pre>{@code
 * JsonError.respond(exchange, 404, "not_found", "No operation /x.");
 * // {"error":{"type":"not_found","message":"No operation /x.","code":404}}
 * }</pre>
 */
public final class JsonError {
    private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");

    private JsonError() {}

    /** Returns the body of an error. */
    public static byte[] body(String type, String message, int code) {
        String text =
                "{\"error\":{\"type\":\""
                        + quote(type)
                        + "\",\"message\":\""
                        + quote(message)
                        + "\",\"code\":"
                        + code
                        + "}}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Answers with an error. */
    public static void respond(HttpExchange exchange, int status, String type, String message) {
        exchange.respond(status, JSON, body(type, message, status));
    }

    /** Answers with an error and further headers, such as {@code Retry-After}. */
    public static void respond(
            HttpExchange exchange,
            int status,
            String type,
            String message,
            Map<String, String> headers) {
        Map<String, String> all = new HashMap<>(headers);
        all.putAll(JSON);
        exchange.respond(status, all, body(type, message, status));
    }

    private static String quote(String text) {
        return String.valueOf(JsonStringEncoder.getInstance().quoteAsString(text));
    }
}
