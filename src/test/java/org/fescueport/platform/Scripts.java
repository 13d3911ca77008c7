package org.fescueport.platform;

import static org.fescueport.platform.ReplicaStandIn.answering;
import static org.fescueport.platform.ReplicaStandIn.beginStream;
import static org.fescueport.platform.ReplicaStandIn.chunk;
import static org.fescueport.platform.ReplicaStandIn.events;

import java.util.concurrent.atomic.AtomicBoolean;
import org.fescueport.platform.RawServer.Script;

/** How replicas answer in several tests. */
final class Scripts {
    static final Script GOOD = answering("whole");

    static final Script STREAM =
            (request, wire) -> {
                beginStream(request, wire);
                chunk(wire, events(1, 3));
                wire.write("0\r\n\r\n");
            };

    /** Answers the first request in one way, all later ones in another. */
    static Script firstThen(Script first, Script later) {
        var answered = new AtomicBoolean();
        return (request, wire) ->
                (answered.compareAndSet(false, true) ? first : later).answer(request, wire);
    }

    private Scripts() {}
}
