package org.fescueport.internal.decision.config;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/** A record of the configuration stream. */
public sealed interface ConfigRecord {
    /**
     * A change of one file.
     *
     * @param file the file's name
     * @param base the version of the file on which the change is based; 0 if it was never declared
     * @param content the file's new content; empty to remove the file
     * @param publisher the name of whoever published the change
     * @param nonce chosen by the publisher, so that it can identify its own record in the stream
     */
    record Change(
            String file, long base, Optional<DeclarationFile> content, String publisher, UUID nonce)
            implements ConfigRecord {}

    /**
     * The state of a fold at a position.
     *
     * @param position the first offset that the snapshot does not include
     * @param version the offset of the last accepted change below the position
     * @param files every file that was ever declared, including removed ones, by name
     * @param counts the counts of the fold at the position
     */
    record Snapshot(long position, long version, Map<String, FileState> files, VerdictCounts counts)
            implements ConfigRecord {
        public Snapshot {
            files = Map.copyOf(files);
        }
    }

    /** The record at offset 0, which has no content: 0 is not a valid version of a change. */
    record Opening() implements ConfigRecord {}

    /**
     * A record that can't be decoded.
     *
     * @param why the reason
     * @param newerFormat whether its format is newer than those that this release reads
     */
    record Unreadable(String why, boolean newerFormat) implements ConfigRecord {}
}
