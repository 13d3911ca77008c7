package org.fescueport.internal.direct.state;

/** What a response of the store reports about the store's era. */
public sealed interface EraReport {
    /** The response names an era. */
    record Reported(long era) implements EraReport {}

    /** The response names no era. */
    record Absent() implements EraReport {}

    /** The response contains a value that cannot be parsed as an era. */
    record Unparseable(String text) implements EraReport {}
}
