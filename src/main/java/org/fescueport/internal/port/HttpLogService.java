package org.fescueport.internal.port;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.port.LogService;
import org.fescueport.port.PlatformException;

/** The platform's log over HTTP. */
public final class HttpLogService implements LogService {
    /** Error code by which the log says that nothing was appended. */
    private static final String NOT_APPENDED = "not_appended";

    private final PlatformHttp mHttp;

    private HttpLogService(PlatformHttp http) {
        mHttp = http;
    }

    /** Returns the log at a base URL. */
    public static HttpLogService of(HttpCaller caller, String baseUrl, Duration timeout) {
        return new HttpLogService(new PlatformHttp(caller, baseUrl, timeout));
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        ObjectNode body = PlatformHttp.JSON.createObjectNode();
        ArrayNode array = body.putArray("records");
        records.forEach(array::add);
        String path = path(stream);
        return mHttp.post(
                path,
                PlatformHttp.JSON_TYPE,
                PlatformHttp.bytes(body),
                response -> {
                    if (response.status() != 200) {
                        throw notAppended(path, response);
                    }
                    return PlatformHttp.json(path, response.body()).path("firstOffset").asLong();
                });
    }

    @Override
    public CompletableFuture<Page> read(String stream, long fromOffset, int limit) {
        String path = path(stream) + "?from=" + fromOffset + "&limit=" + limit;
        return mHttp.get(path, node -> page(path, node));
    }

    private static String path(String stream) {
        return "/v1/streams/" + stream + "/records";
    }

    private static RuntimeException notAppended(String path, HttpCaller.Response response) {
        if (response.status() == 429 || response.status() == 503) {
            JsonNode error = PlatformHttp.json(path, response.body()).path("error");
            if (error.path("code").asText().equals(NOT_APPENDED)
                    || error.path("type").asText().equals(NOT_APPENDED)) {
                String what = PlatformHttp.describe(path, response);
                return PlatformHttp.failed(PlatformException.didNotHappen(what, null));
            }
            String what = PlatformHttp.describe(path, response);
            return PlatformHttp.failed(PlatformException.cannotBeKnown(what, null));
        }
        return PlatformHttp.refused(path, response);
    }

    private static Page page(String path, JsonNode node) {
        List<Entry> entries = new ArrayList<>();
        for (JsonNode entry : node.path("entries")) {
            entries.add(
                    new Entry(
                            entry.path("offset").asLong(),
                            entry.path("appendedAtMillis").asLong(),
                            data(path, entry)));
        }
        return new Page(
                entries, node.path("firstOffset").asLong(), node.path("nextOffset").asLong());
    }

    private static byte[] data(String path, JsonNode entry) {
        try {
            return entry.path("data").binaryValue();
        } catch (IOException e) {
            String what = path + " answered with a record that is not base64.";
            throw PlatformHttp.failed(PlatformException.didNotHappen(what, e));
        }
    }
}
