package org.fescueport.internal.admin;

/** A router or an agent as its operators see it. */
public interface AdminNode {
    /**
     * State of a node.
     *
     * @param configVersion version of the declarations that are in force
     * @param configAgeMillis time since the node last knew that it was current
     */
    record Status(
            String node,
            String incarnation,
            long configVersion,
            long configAgeMillis,
            boolean leaving,
            long activeRequests) {}

    /** Returns the state. */
    Status status();

    /** Returns why the node is not ready to serve; empty when it is. */
    String whyNotReady();

    /** Returns the supervisor tree as text. */
    String tree();

    /** Begins a graceful shutdown; harmless when it has begun. */
    void drain(String why);
}
