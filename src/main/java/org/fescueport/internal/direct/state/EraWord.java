package org.fescueport.internal.direct.state;

/** What one answer of the store says of the store's era. */
public sealed interface EraWord {
    /** The answer names an era. */
    record Told(long era) implements EraWord {}

    /** The answer names none. */
    record Untold() implements EraWord {}

    /** The answer names something that is no era. */
    record Unreadable(String text) implements EraWord {}
}
