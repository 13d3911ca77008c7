package org.fescueport.internal.direct.forward;

import java.util.Optional;

/** Writes the log lines about connections of callers. */
final class CallerLog {
    private CallerLog() {}

    /** A request that was received completely is refused. */
    static void refused(ForwardingContext context, CallerRequest request, Refusal refusal) {
        long version = context.view().configuration().map(c -> c.version()).orElse(-1L);
        context.log()
                .decision("refused")
                .with("request", request.id())
                .with("reason", refusal.reason())
                .with("message", refusal.message())
                .with("host", request.host())
                .with("path", request.path())
                .with("version", version)
                .write();
    }

    /**
     * A request is refused that was not received completely.
     *
     * @param id of the request; absent if it was not received that far
     */
    static void refusedIncomplete(
            ForwardingContext context, Optional<String> id, Refusal.Reason reason, String message) {
        context.log()
                .decision("refused")
                .with("request", id.orElse(""))
                .with("reason", reason)
                .with("message", message)
                .write();
    }

    /** A response is cut off because its caller reads too slowly. */
    static void slowReaderCut(ForwardingContext context, long unreadBytes) {
        context.log()
                .decision("slow-reader-cut")
                .with("bytes", unreadBytes)
                .with("held_bytes", context.slowReaders().bytes())
                .with("max_bytes", context.slowReaders().maxBytes())
                .write();
    }
}
