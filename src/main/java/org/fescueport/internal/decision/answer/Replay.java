package org.fescueport.internal.decision.answer;

import java.util.List;

/** Result of {@link AnswerBuffer#resume}, for a router that resumes an answer. */
public sealed interface Replay {
    /**
     * The buffered chunks, starting with the requested one.
     *
     * @param ended whether the answer has ended; if not, more chunks follow as they are produced
     */
    record Available(List<Chunk> chunks, boolean ended) implements Replay {}

    /**
     * The requested chunk was evicted; {@code firstKept} is the first chunk that is still buffered.
     */
    record Trimmed(int firstKept) implements Replay {}

    /**
     * The answer is not buffered here or belongs to another team. The two cases are not
     * distinguished.
     */
    record NotFound() implements Replay {}
}
