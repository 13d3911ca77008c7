package org.fescueport.internal.port;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.port.WeightStore;

/** The platform's store of weights over HTTP. */
public final class HttpWeightStore implements WeightStore {
    private final PlatformHttp mHttp;

    private HttpWeightStore(PlatformHttp http) {
        mHttp = http;
    }

    /** Returns the store at a base URL. */
    public static HttpWeightStore of(HttpCaller caller, String baseUrl, Duration timeout) {
        return new HttpWeightStore(new PlatformHttp(caller, baseUrl, timeout));
    }

    @Override
    public CompletableFuture<Long> sizeOf(String artifact) {
        String name = URLEncoder.encode(artifact, StandardCharsets.UTF_8);
        return mHttp.get("/v1/artifacts/" + name, node -> node.path("bytes").asLong());
    }
}
