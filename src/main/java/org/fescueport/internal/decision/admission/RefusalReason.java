package org.fescueport.internal.decision.admission;

/** Why a request was refused on arrival, or dropped from the queue before it was run. */
public enum RefusalReason {
    /** The request could not be completed by its deadline. */
    DEADLINE,
    /** The load of the replica would exceed its bound. */
    LOAD_BOUND,
    /** Too many requests are queued. */
    QUEUE_FULL,
    /** The request was displaced by a more urgent class, or by a team below its share. */
    DISPLACED,
    /** The replica is draining and accepts no new requests. */
    LEAVING
}
