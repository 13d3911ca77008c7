package org.fescueport.internal.direct.state;

/** What the shared store keeps for the fleet: one record for each key of a topic. */
public enum StateTopic {
    /** What operators have put in force. */
    CONFIGURATION,
    /** What replicas say of themselves. */
    REPLICAS,
    /** Where the fleet's own nodes are reached. */
    NODES
}
