package org.fescueport.internal.agent;

import java.net.URI;
import java.util.Optional;
import org.fescueport.internal.settings.NodeSettings;

/**
 * Settings of an agent.
 *
 * @param pool the set of identical backend servers that this one belongs to
 * @param inFlight requests at the backend server at once
 * @param queue requests that may wait
 * @param weightsUrl the weight store; without it this agent takes no part in placing models
 * @param weightsBytesPerSecond rate of the weight store, which all agents share
 * @param logRetentionSeconds time for which the log surely keeps a record
 * @param drainSeconds longest wait for requests in flight at a stop
 */
record AgentSettings(
        NodeSettings node,
        BackendKind backendKind,
        URI backendUrl,
        String pool,
        int inFlight,
        int queue,
        Optional<URI> weightsUrl,
        int weightsBytesPerSecond,
        int logRetentionSeconds,
        int drainSeconds) {
    /** What a backend server is. */
    enum BackendKind {
        MODEL,
        SERVICE
    }
}
