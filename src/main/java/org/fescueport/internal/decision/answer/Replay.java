package org.fescueport.internal.decision.answer;

import java.util.List;

/** What an agent can give to a router that continues an answer. */
public sealed interface Replay {
    /** The kept chunks from the one that was asked for; further ones follow as they are made. */
    record Available(List<Chunk> chunks, boolean ended) implements Replay {}

    /** The answer is kept, but only from this chunk on. */
    record Trimmed(int firstKept) implements Replay {}

    /** No such answer is kept here, or it belongs to another team; the two aren't told apart. */
    record NotFound() implements Replay {}
}
