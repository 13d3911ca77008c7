package org.fescueport.internal.decision;

/** One attempt at a request; attempts are numbered from 1. */
public record AttemptId(RequestId request, int number) {
    /** Returns the attempt of this number. */
    public static AttemptId of(RequestId request, int number) {
        return new AttemptId(request, number);
    }

    /** Returns the attempt after this one. */
    public AttemptId next() {
        return of(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "/" + number;
    }
}
