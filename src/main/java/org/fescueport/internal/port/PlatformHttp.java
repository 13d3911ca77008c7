package org.fescueport.internal.port;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.fescueport.internal.http.HttpCallException;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.port.PlatformException;

/** Calls one HTTP server of the platform and turns failures into {@link PlatformException}. */
final class PlatformHttp {
    static final ObjectMapper JSON = new ObjectMapper();
    static final Map<String, String> JSON_TYPE = Map.of("Content-Type", "application/json");
    static final byte[] NO_BODY = {};

    private static final int MAX_DETAIL_CHARS = 200;

    private final HttpCaller mCaller;
    private final String mBaseUrl;
    private final Duration mTimeout;

    PlatformHttp(HttpCaller caller, String baseUrl, Duration timeout) {
        mCaller = caller;
        mBaseUrl = baseUrl.endsWith("/") ? baseUrl.substring(0, baseUrl.length() - 1) : baseUrl;
        mTimeout = timeout;
    }

    HttpCaller caller() {
        return mCaller;
    }

    /** Returns a request to a path of this server. */
    HttpCaller.Request request(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Duration timeout) {
        return new HttpCaller.Request(method, mBaseUrl + path, headers, body, timeout);
    }

    /** Reads JSON; a failed read has no effect, so its failures are {@code didNotHappen}. */
    <T> CompletableFuture<T> get(String path, Function<JsonNode, T> parse) {
        HttpCaller.Request request = request("GET", path, Map.of(), NO_BODY, mTimeout);
        return answer(
                request,
                response -> {
                    if (response.status() != 200) {
                        throw failed(
                                PlatformException.didNotHappen(describe(path, response), null));
                    }
                    return parse.apply(json(path, response.body()));
                },
                failure -> PlatformException.didNotHappen(failure.getMessage(), failure));
    }

    /** Reads with {@code If-None-Match}; the answer's status is 200 or 304. */
    CompletableFuture<HttpCaller.Response> getIfChanged(String path, String entityTag) {
        Map<String, String> headers =
                entityTag.isEmpty() ? Map.of() : Map.of("If-None-Match", entityTag);
        return answer(
                request("GET", path, headers, NO_BODY, mTimeout),
                response -> {
                    if (response.status() != 200 && response.status() != 304) {
                        throw failed(
                                PlatformException.didNotHappen(describe(path, response), null));
                    }
                    return response;
                },
                failure -> PlatformException.didNotHappen(failure.getMessage(), failure));
    }

    /** Sends a body; {@code parse} gets the answer with whatever status it has. */
    <T> CompletableFuture<T> post(
            String path,
            Map<String, String> headers,
            byte[] body,
            Function<HttpCaller.Response, T> parse) {
        return post(request("POST", path, headers, body, mTimeout), parse);
    }

    <T> CompletableFuture<T> post(
            HttpCaller.Request request, Function<HttpCaller.Response, T> parse) {
        return answer(request, parse, PlatformHttp::translate);
    }

    /** Fails unless the health check is answered with 200. */
    CompletableFuture<Void> checkHealth() {
        String path = "/healthz";
        return post(
                request("GET", path, Map.of(), NO_BODY, mTimeout),
                response -> {
                    if (response.status() != 200) {
                        throw failed(
                                PlatformException.didNotHappen(describe(path, response), null));
                    }
                    return null;
                });
    }

    /** Returns the failure that an answer of an unexpected status stands for. */
    static CompletionException refused(String path, HttpCaller.Response response) {
        boolean isRefusal = response.status() >= 400 && response.status() < 500;
        String what = describe(path, response);
        return failed(
                isRefusal
                        ? PlatformException.didNotHappen(what, null)
                        : PlatformException.cannotBeKnown(what, null));
    }

    static CompletionException failed(PlatformException failure) {
        return new CompletionException(failure);
    }

    static PlatformException translate(HttpCallException failure) {
        return failure.maybeSent()
                ? PlatformException.cannotBeKnown(failure.getMessage(), failure)
                : PlatformException.didNotHappen(failure.getMessage(), failure);
    }

    static JsonNode json(String path, byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            String what = path + " answered with JSON that cannot be read: " + e.getMessage();
            throw failed(PlatformException.cannotBeKnown(what, e));
        }
    }

    static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException("A JSON tree could not be written.", e);
        }
    }

    static String describe(String path, HttpCaller.Response response) {
        String body = new String(response.body(), StandardCharsets.UTF_8);
        String detail = body.substring(0, Math.min(MAX_DETAIL_CHARS, body.length()));
        return path + " answered with status " + response.status() + ": " + detail;
    }

    private <T> CompletableFuture<T> answer(
            HttpCaller.Request request,
            Function<HttpCaller.Response, T> parse,
            Function<HttpCallException, PlatformException> translate) {
        return mCaller.call(request)
                .handle(
                        (response, failure) -> {
                            if (failure == null) {
                                return parse.apply(response);
                            }
                            Throwable cause =
                                    failure instanceof CompletionException
                                            ? failure.getCause()
                                            : failure;
                            if (cause instanceof HttpCallException call) {
                                throw failed(translate.apply(call));
                            }
                            throw failed(PlatformException.cannotBeKnown(cause.toString(), cause));
                        });
    }
}
