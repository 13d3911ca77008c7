package org.fescueport.internal.decision.config;

import java.util.List;

/** The outcome of applying a record of the configuration stream. */
public sealed interface Verdict {
    /** The change was applied; {@code version} is the new version of the configuration. */
    record Accepted(long version) implements Verdict {}

    /**
     * The change was rejected because it is not based on the file's current version: another change
     * was accepted first.
     */
    record Lost(long currentVersion) implements Verdict {}

    /** The change was rejected because it conflicts with other files in force. */
    record Refused(List<String> conflicts) implements Verdict {
        public Refused {
            conflicts = List.copyOf(conflicts);
        }
    }

    /** The record was ignored because it could not be decoded. */
    record Skipped(String why) implements Verdict {}

    /** The record has no effect: it is not a change, or it was applied before. */
    record NoChange() implements Verdict {}
}
