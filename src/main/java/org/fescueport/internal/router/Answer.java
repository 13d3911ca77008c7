package org.fescueport.internal.router;

import java.util.Map;
import org.fescueport.internal.wire.generated.Outcome;

/** The way in which one request's answer reaches its caller. */
sealed interface Answer permits EventAnswer, WholeAnswer {
    /** Told once, before the first piece; the headers go out with the head of the answer. */
    void begin(Map<String, String> headers);

    /** Adds a piece and returns the bytes that wait for the caller. */
    int add(int number, byte[] piece);

    /** Ends a whole answer. */
    void complete(Outcome outcome);

    /** Returns whether bytes may have reached the caller, so that no other status can be told. */
    boolean isBegun();

    /** Answers with an error, or breaks an answer off that has begun. */
    void fail(Failure failure);

    /** Calls {@code action} each time nothing waits for the caller any more. */
    void onDrained(Runnable action);
}
