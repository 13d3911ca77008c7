package org.fescueport.internal.port;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.port.PlainService;

/** A plain HTTP service: each operation is a POST to the path of its name. */
public final class HttpPlainService implements PlainService {
    private final PlatformHttp mHttp;

    private HttpPlainService(PlatformHttp http) {
        mHttp = http;
    }

    /** Returns the service at a base URL; {@code timeout} is that of health checks. */
    public static HttpPlainService of(HttpCaller caller, String baseUrl, Duration timeout) {
        return new HttpPlainService(new PlatformHttp(caller, baseUrl, timeout));
    }

    @Override
    public CompletableFuture<Response> call(Request request) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", request.contentType());
        putUnlessEmpty(headers, "Idempotency-Key", request.idempotencyKey());
        putUnlessEmpty(headers, "traceparent", request.traceparent());
        HttpCaller.Request call =
                mHttp.request(
                        "POST",
                        "/" + request.operation(),
                        headers,
                        request.body(),
                        Duration.ofMillis(request.timeoutMillis()));
        return mHttp.post(
                call,
                response ->
                        new Response(response.status(), response.contentType(), response.body()));
    }

    @Override
    public CompletableFuture<Void> checkHealth() {
        return mHttp.checkHealth();
    }

    private static void putUnlessEmpty(Map<String, String> headers, String name, String value) {
        if (!value.isEmpty()) {
            headers.put(name, value);
        }
    }
}
