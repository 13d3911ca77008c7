package org.fescueport.internal.supervision;

/** A node of a supervisor tree. */
public sealed interface Child permits Supervisor, Worker {
    /** Returns the name that the printed tree shows. */
    String name();

    /** Starts the node; it calls {@code onFailure} once when it fails later. */
    void start(FailureListener onFailure) throws Exception;

    /** Stops the node; harmless when it isn't running. */
    void stop();
}
