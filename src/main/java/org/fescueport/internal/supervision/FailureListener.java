package org.fescueport.internal.supervision;

/** Told of a node that failed after it had started. */
@FunctionalInterface
public interface FailureListener {
    /** Called at most once for each start, from any thread. */
    void onFailure(Throwable cause);
}
