package org.fescueport.internal.decision.placement;

/** How a node learns that the replicas, or their machines, are short of capacity at times. */
public enum SharedReplicas {
    /** They are not. */
    NO,
    /** By the first replica that reports how long work takes on its machine. */
    BY_REPORTS,
    /** By its settings. */
    DECLARED
}
