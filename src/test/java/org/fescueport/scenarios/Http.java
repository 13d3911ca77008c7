package org.fescueport.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A caller's side of HTTP, independent of the code under test. */
final class Http {
    static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .sslContext(FleetTls.callersContext())
                    .build();
    static final ObjectMapper JSON = new ObjectMapper();

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private Http() {}

    static HttpRequest request(
            String method, String url, String body, Map<String, String> headers) {
        var builder = HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT);
        headers.forEach(builder::header);
        return builder.method(method, HttpRequest.BodyPublishers.ofString(body)).build();
    }

    static CompletableFuture<HttpResponse<String>> send(
            String method, String url, String body, Map<String, String> headers) {
        return CLIENT.sendAsync(
                request(method, url, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    static JsonNode get(String url) {
        return json(send("GET", url, "", Map.of()).join().body());
    }

    static void put(String url, String body) {
        var response = send("PUT", url, body, Map.of()).join();
        if (response.statusCode() != 200) {
            throw new AssertionError("PUT " + url + " was answered: " + response.body());
        }
    }

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            throw new AssertionError("not JSON: " + text, e);
        }
    }
}
