package org.fescueport.internal.decision.answer;

/** What a router does with a chunk that came from an agent. */
public sealed interface Delivery {
    /** To be written to the caller as the server-sent event with this id. */
    record Event(int id, byte[] data) implements Delivery {}

    /** The caller has it already. */
    record AlreadyDelivered() implements Delivery {}

    /** It belongs to an older attempt and is dropped. */
    record Stale() implements Delivery {}

    /** Chunks before it are missing: ask the agent to resume from this number. */
    record Gap(int expected) implements Delivery {}

    /** With it the answer would exceed the router's bound; the answer cannot go on. */
    record TooLarge() implements Delivery {}
}
