package org.fescueport.internal.decision;

/** A part of the decisions that an experiment may switch off, to see what it is worth. */
public enum Mechanism {
    /** Requests wait or are refused when replicas have no room. */
    ADMISSION,
    /** The times of answers limit what is in flight. */
    ANSWER_TIME_LIMIT,
    /** What replicas tell of their load limits what is in flight. */
    TOLD_LOAD_LIMIT,
    /** Requests are ordered by their urgency. */
    URGENCY,
    /** What is late waits a little before it is refused. */
    LATE_QUEUE,
    /** Teams share what room there is. */
    FAIR_TEAMS,
    /** Requests that share a prompt go to the same replicas. */
    PROMPT_PLACING,
    /** A prompt spills over from a replica loaded far above the mean. */
    SPILL,
    /** A replica with a free slot is taken before one without, whatever prompts they hold. */
    FREE_SLOTS_FIRST,
    /** A replica is told which other one may hold the prompt. */
    FORMER_HOME,
    /** Requests move on from replicas that have fallen silent. */
    MOVING_ON,
    /** Replicas that keep failing are passed over. */
    EJECTION,
    /** Requests that replicas die of are refused, by this node's and by peers' word. */
    POISON,
    /** What replicas say of new work in their answers is heeded. */
    NOTICES
}
