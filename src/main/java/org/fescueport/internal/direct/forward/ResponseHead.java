package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescueport.internal.decision.placement.ReplicaNotice;

/**
 * What a replica says before the body of an answer.
 *
 * @param headers that go to the caller as they are
 * @param requestId echoed by the replica; absent where it sent none
 * @param notRun whether the replica states that it has not run the request and never will
 * @param signed whether the replica has put its stamp on the answer
 * @param load that the replica tells of itself
 * @param length of the body; absent when its end is told in another way
 * @param closeDelimited whether only the end of the connection tells the end of the body
 * @param keepAlive whether the replica takes another request on this connection
 * @param keepAliveTimeout for which the replica keeps an idle connection, where it says so
 * @param notice that the replica gives of new work
 */
public record ResponseHead(
        int status,
        HttpHeaders headers,
        Optional<String> requestId,
        boolean notRun,
        boolean signed,
        Optional<Load> load,
        OptionalLong length,
        boolean closeDelimited,
        boolean keepAlive,
        Optional<Duration> keepAliveTimeout,
        ReplicaNotice notice) {
    /** Requests that a replica works on, that wait there, and that it can work on at once. */
    public record Load(int running, int waiting, int slots) {}

    /** Returns whether the status tells callers that the request has not run and never will. */
    public boolean statusImpliesNotRun() {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    /** Returns whether the replica's own words go to the caller; else this node answers for it. */
    public boolean isForwarded() {
        return !notRun && !statusImpliesNotRun();
    }

    /** Returns this head for a body that is told in pieces. */
    public ResponseHead withoutLength() {
        return new ResponseHead(
                status,
                headers,
                requestId,
                notRun,
                signed,
                load,
                OptionalLong.empty(),
                closeDelimited,
                keepAlive,
                keepAliveTimeout,
                notice);
    }

    /** Returns whether the answer is a success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
