package org.fescueport.internal.direct.state;

/** Topics of the shared store; a topic holds one current record per key. */
public enum StateTopic {
    /** What operators have put in force. */
    CONFIGURATION,
    /** What replicas report about themselves. */
    REPLICAS,
    /** Addresses of the router nodes. */
    NODES
}
