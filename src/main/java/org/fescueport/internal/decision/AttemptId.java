package org.fescueport.internal.decision;

/** Id of one attempt at a request. Attempts are numbered starting at 1. */
public record AttemptId(RequestId request, int number) {
    /** Returns the id of the attempt with this number. */
    public static AttemptId of(RequestId request, int number) {
        return new AttemptId(request, number);
    }

    /** Returns the id of the next attempt at the same request. */
    public AttemptId next() {
        return of(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "/" + number;
    }
}
