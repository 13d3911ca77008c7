package org.fescueport.internal.direct.place;

/** Whether a request may be sent, given the crashes that are attributed to its prompt parts. */
public sealed interface PartVerdict {
    /**
     * The request may be sent.
     *
     * @param isTrial whether one of its parts is refused and this request alone may try it
     */
    record Allowed(boolean isTrial) implements PartVerdict {}

    /** The request must not be sent because of this part. */
    record Refused(PromptPartId part) implements PartVerdict {}
}
