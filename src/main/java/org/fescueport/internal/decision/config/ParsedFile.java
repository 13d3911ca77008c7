package org.fescueport.internal.decision.config;

import java.util.Map;

/**
 * A declaration together with where it was read.
 *
 * @param path the file's path, for messages
 * @param lines lines of what other files may clash with, by {@code name}, {@code pool}, {@code
 *     team:X}, {@code key:X}, {@code target:X} and {@code grant:X}
 */
public record ParsedFile(String path, DeclarationFile file, Map<String, Integer> lines) {
    public ParsedFile {
        lines = Map.copyOf(lines);
    }

    int lineOf(String key) {
        return lines.getOrDefault(key, 1);
    }
}
