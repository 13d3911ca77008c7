package org.fescueport.internal.decision.config;

import java.util.Optional;

/**
 * The current state of a declaration file.
 *
 * @param version the offset of the file's last accepted change; 0 if it was never declared
 * @param content the file's content; empty if that change removed it or it was never declared
 */
public record FileState(long version, Optional<DeclarationFile> content) {
    /** The state of a file that was never declared. */
    public static final FileState ABSENT = new FileState(0, Optional.empty());
}
