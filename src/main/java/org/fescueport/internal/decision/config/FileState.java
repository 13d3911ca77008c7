package org.fescueport.internal.decision.config;

import java.util.Optional;

/**
 * A file as it is in force.
 *
 * @param version offset of the change that made it so
 * @param content empty when that change removed the file
 */
public record FileState(long version, Optional<DeclarationFile> content) {
    /** The state of a file that was never declared. */
    public static final FileState ABSENT = new FileState(0, Optional.empty());
}
