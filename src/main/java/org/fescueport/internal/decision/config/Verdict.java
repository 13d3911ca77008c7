package org.fescueport.internal.decision.config;

import java.util.List;

/** What the fold made of a record. */
public sealed interface Verdict {
    /** The change is in force from this version on. */
    record Accepted(long version) implements Verdict {}

    /** Another change of the file came first; this one was made from an older version. */
    record Lost(long currentVersion) implements Verdict {}

    /** The change clashes with other files that are in force. */
    record Refused(List<String> conflicts) implements Verdict {
        public Refused {
            conflicts = List.copyOf(conflicts);
        }
    }

    /** The record could not be read. */
    record Skipped(String why) implements Verdict {}

    /** The record isn't a change. */
    record NoChange() implements Verdict {}
}
