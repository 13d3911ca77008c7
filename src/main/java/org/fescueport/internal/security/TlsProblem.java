package org.fescueport.internal.security;

import java.nio.file.Path;

/**
 * What is wrong with one of the {@link TlsFiles}.
 *
 * @param what the fault and what to do, without anything of the file's content
 */
public record TlsProblem(Part part, Path file, String what) {
    /** The file that is wrong. */
    public enum Part {
        CERTIFICATES,
        KEY,
        TRUST
    }

    @Override
    public String toString() {
        return file + ": " + what;
    }
}
