package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescueport.internal.direct.config.ApiKey;

/**
 * A caller's request without its body.
 *
 * @param id identifies the request; replicas echo it in their responses
 * @param target path and query, as sent
 * @param headers to be forwarded unchanged
 * @param key absent if the caller sent none that can be parsed
 * @param timeoutMillis how long the caller waits, counted from the request's arrival
 * @param resumeAfterEventId id of the last event that the caller has received of an earlier
 *     response
 */
public record CallerRequest(
        String id,
        HttpMethod method,
        String host,
        String target,
        HttpHeaders headers,
        Optional<ApiKey> key,
        OptionalLong timeoutMillis,
        Optional<String> resumeAfterEventId,
        Prompt prompt) {
    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
