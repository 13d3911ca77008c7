package org.fescueport.internal.decision.config;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/** A record of the configuration's stream. */
public sealed interface ConfigRecord {
    /**
     * A change of one file.
     *
     * @param base the file's version that the change was made from; 0 if it was never declared
     * @param content what the file declares now; empty to remove it
     * @param nonce chosen by the publisher, to find its own record again
     */
    record Change(
            String file, long base, Optional<DeclarationFile> content, String publisher, UUID nonce)
            implements ConfigRecord {}

    /**
     * The stream folded up to a position.
     *
     * @param position the first offset that is not covered
     * @param version offset of the last accepted change below it
     * @param files every file that was ever declared, removed ones too
     */
    record Snapshot(long position, long version, Map<String, FileState> files, VerdictCounts counts)
            implements ConfigRecord {
        public Snapshot {
            files = Map.copyOf(files);
        }
    }

    /** Takes offset 0, which is no version; carries nothing. */
    record Opening() implements ConfigRecord {}

    /**
     * A record that can't be read.
     *
     * @param newerFormat whether it was written by a newer release than this one
     */
    record Unreadable(String why, boolean newerFormat) implements ConfigRecord {}
}
