package org.fescueport.internal.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.JsonError;

/** Reads JSON requests and writes JSON responses of the stand-ins. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Map<String, String> JSON_HEADERS =
            Map.of("Content-Type", "application/json");
    private static final Map<String, String> TEXT_HEADERS =
            Map.of("Content-Type", "text/plain; charset=utf-8");

    private Json() {}

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Parses one JSON object. */
    public static JsonNode parse(byte[] body) throws BadRequestException {
        try {
            var node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new BadRequestException("the body must be a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw new BadRequestException("the body is not JSON: " + e.getMessage());
        }
    }

    /** Converts a record to an object with its components as fields. */
    public static ObjectNode of(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Converts an object to a record. */
    public static <T> T to(JsonNode node, Class<T> type) throws BadRequestException {
        try {
            return MAPPER.treeToValue(node, type);
        } catch (JsonProcessingException e) {
            throw new BadRequestException(e.getOriginalMessage());
        }
    }

    /** Returns an integer parameter of the query, or its default. */
    public static long number(HttpExchange exchange, String name, long fallback)
            throws BadRequestException {
        var text = exchange.query(name, Long.toString(fallback));
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadRequestException(name + " must be a whole number, not " + text);
        }
    }

    /** Serializes the value as UTF-8. */
    public static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Sends a response with a JSON body. */
    public static void respond(HttpExchange exchange, int status, JsonNode body) {
        exchange.respond(status, JSON_HEADERS, bytes(body));
    }

    /** Sends a response with one line of text. */
    public static void respondText(HttpExchange exchange, int status, String text) {
        exchange.respond(status, TEXT_HEADERS, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends an error response with a machine-readable type. */
    public static void respondError(
            HttpExchange exchange, int status, String type, String message) {
        JsonError.respond(exchange, status, type, message);
    }
}
