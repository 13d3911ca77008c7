package org.fescueport.internal.decision.answer;

/** What a router must do with a chunk that it received from an agent. */
public sealed interface Delivery {
    /** Send the chunk to the caller as the server-sent event with this id. */
    record Event(int id, byte[] data) implements Delivery {}

    /** Do not send the chunk: the caller already has it. */
    record AlreadyDelivered() implements Delivery {}

    /** Drop the chunk: it does not belong to the current attempt. */
    record Stale() implements Delivery {}

    /** Earlier chunks are missing. {@code expected} is the first one that the agent must resend. */
    record Gap(int expected) implements Delivery {}

    /** The chunk would exceed the maximum size of the answer, which cannot be continued. */
    record TooLarge() implements Delivery {}
}
