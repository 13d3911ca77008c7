package org.fescueport.internal.fleet;

import org.fescueport.internal.wire.generated.Chunk;
import org.fescueport.internal.wire.generated.Outcome;
import org.fescueport.internal.wire.generated.Started;

/** Receives what an agent says of one attempt; called on I/O threads. */
public interface AttemptListener {
    void onStarted(Started started);

    void onChunk(Chunk chunk);

    void onOutcome(Outcome outcome);

    /** The connection was lost before an outcome arrived; no evidence of what became of it. */
    void onLost();
}
