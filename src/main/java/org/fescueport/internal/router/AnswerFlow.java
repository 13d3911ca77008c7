package org.fescueport.internal.router;

import java.util.Map;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.answer.AnswerAssembler;
import org.fescueport.internal.decision.answer.Delivery;
import org.fescueport.internal.wire.generated.Outcome;

/**
 * The pieces of one request's answer, in order through all attempts, and the credit owed for them.
 *
 * <p>Used under the request's lock.
 */
final class AnswerFlow {
    private static final int WAITING_BYTES_LIMIT = 64 * 1024;

    /** Small beside the first credit, so that an agent never waits for what is held back. */
    private static final int CREDIT_BATCH_BYTES = 1024;

    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    private final Answer mAnswer;
    private final AnswerAssembler mAssembler;
    private int mOwedCredit;
    private boolean mHasBegun;

    private AnswerFlow(CallerRequest request, Answer answer) {
        mAnswer = answer;
        mAssembler = AnswerAssembler.start(request.id(), MAX_ANSWER_BYTES);
    }

    /** Returns the flow of a request of which nothing has come. */
    static AnswerFlow of(CallerRequest request, Answer answer) {
        return new AnswerFlow(request, answer);
    }

    /** Goes on with another attempt, which owes nothing. */
    void onAttempt(AttemptId attempt) {
        mAssembler.attempt(attempt);
        mOwedCredit = 0;
    }

    AnswerAssembler assembler() {
        return mAssembler;
    }

    int nextChunk() {
        return mAssembler.nextChunk();
    }

    /** Takes a chunk in; an event is still to be delivered. */
    Delivery accept(AttemptId attempt, int number, byte[] piece) {
        return mAssembler.accept(attempt, number, piece);
    }

    boolean hasBegun() {
        return mHasBegun;
    }

    /** Begins the caller's answer. */
    void begin(Map<String, String> headers) {
        mHasBegun = true;
        mAnswer.begin(headers);
    }

    /** Gives a piece to the caller; returns the credit to grant now, or 0 to grant it later. */
    int deliver(Delivery.Event event) {
        int waiting = mAnswer.add(event.id(), event.data());
        mOwedCredit += event.data().length;
        return waiting <= WAITING_BYTES_LIMIT ? takeCredit() : 0;
    }

    /** Returns the credit that is owed, once there is enough of it to be worth a frame. */
    int takeCredit() {
        if (mOwedCredit < CREDIT_BATCH_BYTES) {
            return 0;
        }
        int credit = mOwedCredit;
        mOwedCredit = 0;
        return credit;
    }

    /** Tells that the answer is kept elsewhere from now on; clients skip what is in a comment. */
    void renewResumeToken(String token) {
        switch (mAnswer) {
            case EventAnswer events -> events.note("resume " + token);
            case WholeAnswer ignored -> {
                // It is given whole by this router, or not at all.
            }
        }
    }

    void complete(Outcome outcome) {
        mAnswer.complete(outcome);
    }

    void fail(Failure failure) {
        mAnswer.fail(failure);
    }
}
