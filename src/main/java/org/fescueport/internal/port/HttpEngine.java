package org.fescueport.internal.port;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.port.Engine;

/** A model engine over HTTP, in the chat-completions form with server-sent events. */
public final class HttpEngine implements Engine {
    private static final Map<String, String> BYTES_TYPE =
            Map.of("Content-Type", "application/octet-stream");
    private static final byte[] NO_BODY = {};

    private final PlatformHttp mHttp;
    private final Duration mLongestGeneration;

    private HttpEngine(PlatformHttp http, Duration longestGeneration) {
        mHttp = http;
        mLongestGeneration = longestGeneration;
    }

    /**
     * Returns the engine at a base URL.
     *
     * @param timeout of every call but a generation
     */
    public static HttpEngine of(
            HttpCaller caller, String baseUrl, Duration timeout, Duration longestGeneration) {
        return new HttpEngine(new PlatformHttp(caller, baseUrl, timeout), longestGeneration);
    }

    @Override
    public Handle generate(Generation generation, Listener listener) {
        Map<String, String> headers =
                generation.traceparent().isEmpty()
                        ? PlatformHttp.JSON_TYPE
                        : Map.of(
                                "Content-Type",
                                "application/json",
                                "traceparent",
                                generation.traceparent());
        HttpCaller.Request request =
                mHttp.request(
                        "POST",
                        "/v1/chat/completions",
                        headers,
                        bodyOf(generation),
                        mLongestGeneration);
        return GenerationReader.start(mHttp.caller(), request, listener);
    }

    @Override
    public CompletableFuture<ReportedLoad> load() {
        return mHttp.get("/v1/load", HttpEngine::reportedLoad);
    }

    @Override
    public CompletableFuture<Void> order(Order order) {
        ObjectNode body = PlatformHttp.JSON.createObjectNode();
        body.put("kind", order.kind());
        body.put("subject", order.subject());
        body.put("fencingToken", order.fencingToken());
        return done("/v1/orders", PlatformHttp.JSON_TYPE, PlatformHttp.bytes(body));
    }

    @Override
    public CompletableFuture<byte[]> exportCache(byte[] body) {
        String path = "/v1/kv/export";
        return mHttp.post(
                path,
                PlatformHttp.JSON_TYPE,
                body,
                response ->
                        switch (response.status()) {
                            case 200 -> response.body();
                            case 404 -> NO_BODY;
                            default -> throw PlatformHttp.refused(path, response);
                        });
    }

    @Override
    public CompletableFuture<Void> importCache(byte[] cache) {
        return done("/v1/kv/import", BYTES_TYPE, cache);
    }

    @Override
    public CompletableFuture<Void> checkHealth() {
        return mHttp.checkHealth();
    }

    private CompletableFuture<Void> done(String path, Map<String, String> headers, byte[] body) {
        return mHttp.post(
                path,
                headers,
                body,
                response -> {
                    if (response.status() / 100 != 2) {
                        throw PlatformHttp.refused(path, response);
                    }
                    return null;
                });
    }

    private static ReportedLoad reportedLoad(JsonNode node) {
        return new ReportedLoad(
                node.path("running").asInt(),
                node.path("waiting").asInt(),
                node.path("cachedBlocks").asInt(),
                node.path("version").asText());
    }

    /** Appends our fields to the caller's object: of a name that stands twice the last counts. */
    static byte[] bodyOf(Generation generation) {
        byte[] body = generation.body();
        int end = body.length - 1;
        while (end >= 0 && body[end] != '}') {
            end--;
        }
        if (end < 0) {
            throw new IllegalArgumentException("The body of a generation must be a JSON object.");
        }
        byte[] more = fieldsOf(generation).getBytes(StandardCharsets.UTF_8);
        byte[] whole = Arrays.copyOf(body, end + more.length);
        System.arraycopy(more, 0, whole, end, more.length);
        return whole;
    }

    private static String fieldsOf(Generation generation) {
        StringBuilder fields = new StringBuilder();
        fields.append(",\"stream\":true,\"priority\":").append(generation.priority());
        if (!generation.resumeText().isEmpty()) {
            fields.append(",\"resume_text\":\"");
            JsonStringEncoder.getInstance().quoteAsString(generation.resumeText(), fields);
            fields.append('"');
        }
        return fields.append('}').toString();
    }
}
