package org.fescueport.internal.decision.config;

import java.util.Map;

/**
 * A parsed declaration file and the line numbers for messages about it.
 *
 * @param path the file's path, for messages
 * @param file the content of the file
 * @param lines the line numbers of the entries that may conflict with other files or refer to them,
 *     by {@code name}, {@code pool}, {@code kind}, {@code team:X}, {@code key:X}, {@code target:X}
 *     and {@code grant:X}
 */
public record ParsedFile(String path, DeclarationFile file, Map<String, Integer> lines) {
    public ParsedFile {
        lines = Map.copyOf(lines);
    }

    int lineOf(String key) {
        return lines.getOrDefault(key, 1);
    }
}
