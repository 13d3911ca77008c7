package org.fescueport.internal.decision;

/** A mechanism of routing or admission that an experiment can disable to measure its benefit. */
public enum Mechanism {
    /** Requests are queued or refused when the replicas have no capacity. */
    ADMISSION,
    /** The time that replicas take to begin their answers limits the requests in flight. */
    ANSWER_TIME_LIMIT,
    /** The load that replicas report limits the requests in flight. */
    TOLD_LOAD_LIMIT,
    /** Queued requests are ordered by urgency. */
    URGENCY,
    /** Requests that can no longer meet their latency objective wait briefly before a refusal. */
    LATE_QUEUE,
    /** Teams share the available capacity fairly. */
    FAIR_TEAMS,
    /** Requests that share a prompt are routed to the same replicas. */
    PROMPT_PLACING,
    /** Requests are routed away from a replica whose load is far above the mean. */
    SPILL,
    /**
     * A replica with a free slot is preferred to one without, whatever prompts they have cached.
     */
    FREE_SLOTS_FIRST,
    /** The chosen replica is told which other replica may have the prompt in its cache. */
    FORMER_HOME,
    /** Nodes tell one another which replicas have a prompt cached, where the ranking does not. */
    PREFIX_HOLDERS,
    /** Requests move to another replica when their replica stops responding. */
    MOVING_ON,
    /** Replicas that fail repeatedly are skipped. */
    EJECTION,
    /** Requests that crash replicas are refused, as observed by this node or reported by peers. */
    POISON,
    /** Replicas that state in their answers that they accept no new work are skipped. */
    NOTICES,
    /** Replicas that start or recover get more requests only as they answer well. */
    PACE
}
