package org.fescueport.internal.direct.state;

/** What one answer of the store says of the store's era. */
public sealed interface EraReport {
    /** The answer names an era. */
    record Reported(long era) implements EraReport {}

    /** The answer names none. */
    record Absent() implements EraReport {}

    /** The answer names something that is no era. */
    record Unparseable(String text) implements EraReport {}
}
