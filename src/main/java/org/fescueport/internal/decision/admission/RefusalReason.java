package org.fescueport.internal.decision.admission;

/** Why work was not taken, or was given up before it was run. */
public enum RefusalReason {
    /** It could not be completed by its deadline. */
    DEADLINE,
    /** The replica would carry more than its bound allows. */
    LOAD_BOUND,
    /** Too many requests wait. */
    QUEUE_FULL,
    /** It made room for a more urgent class, or for a team that had less than its share. */
    DISPLACED,
    /** The replica takes no new work. */
    LEAVING
}
