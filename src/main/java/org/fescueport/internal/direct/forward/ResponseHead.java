package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.fescueport.internal.decision.placement.ReplicaNotice;

/**
 * The head of a replica's response.
 *
 * @param headers to be forwarded to the caller unchanged
 * @param requestId echoed by the replica; absent if it sent none, or more than one
 * @param notRun whether the replica states that it has not run the request and never will
 * @param signed whether the response bears the replica's stamp
 * @param load that the replica reports of itself
 * @param modelVersion of the weights that produce the body; absent if the replica states none
 * @param length of the body in bytes; absent if the end of the body is marked in another way
 * @param closeDelimited whether only the closing of the connection marks the end of the body
 * @param keepAlive whether the replica accepts another request on this connection
 * @param keepAliveTimeout time for which the replica keeps an idle connection open, if it announces
 *     one
 * @param notice whether the replica is leaving or asks for a pause in new work
 */
public record ResponseHead(
        int status,
        HttpHeaders headers,
        Optional<String> requestId,
        boolean notRun,
        boolean signed,
        Optional<Load> load,
        Optional<String> modelVersion,
        OptionalLong length,
        boolean closeDelimited,
        boolean keepAlive,
        Optional<Duration> keepAliveTimeout,
        ReplicaNotice notice) {
    private static final int MISDIRECTED = 421;

    /**
     * The load of a replica.
     *
     * @param held requests that it is processing and that wait there; absent if it does not tell
     * @param workPercent how long work takes on its machine at present, in percent of the usual;
     *     absent if it does not tell
     * @param unreadable the statement, if part of it is missing or makes no sense and therefore
     *     counts as not told
     */
    public record Load(OptionalInt held, OptionalInt workPercent, Optional<String> unreadable) {}

    /**
     * Returns whether callers take this status to mean that the request has not run and never will.
     */
    public boolean statusImpliesNotRun() {
        return status == 408 || status == MISDIRECTED || status == 429 || status == 503;
    }

    /** Returns whether the server is not the replica that the request was sent to. */
    public boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /**
     * Returns whether the response is forwarded to the caller; otherwise this node sends a response
     * of its own.
     */
    public boolean isForwarded() {
        return !notRun && !statusImpliesNotRun();
    }

    /** Returns this head without a length, for a body that is sent in chunks. */
    public ResponseHead withoutLength() {
        return new ResponseHead(
                status,
                headers,
                requestId,
                notRun,
                signed,
                load,
                modelVersion,
                OptionalLong.empty(),
                closeDelimited,
                keepAlive,
                keepAliveTimeout,
                notice);
    }

    /**
     * Returns whether the body is a stream of events: the response states no other content type and
     * no encoding.
     */
    public boolean isEventStream() {
        String type = mediaType();
        boolean events = type.isEmpty() || type.contentEquals(HttpHeaderValues.TEXT_EVENT_STREAM);
        return isSuccess() && events && contentEncoding().isEmpty();
    }

    /**
     * Returns whether the body can follow what was received under another head, as if both were one
     * response.
     */
    public boolean continues(ResponseHead first) {
        boolean otherVersion =
                modelVersion.isPresent()
                        && first.modelVersion.isPresent()
                        && !modelVersion.equals(first.modelVersion);
        return status == first.status
                && mediaType().equals(first.mediaType())
                && contentEncoding().equals(first.contentEncoding())
                && !otherVersion;
    }

    private String mediaType() {
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
        return type.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
    }

    private String contentEncoding() {
        return headers.get(HttpHeaderNames.CONTENT_ENCODING, "").strip().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether the response is the replica's own to this request: it echoes the request id
     * and, if successful, bears the replica's stamp.
     */
    public boolean isAuthentic() {
        return requestId.isPresent() && (signed || !isSuccess());
    }

    /** Returns whether the status is a success (2xx). */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
