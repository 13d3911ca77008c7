package org.fescueport.internal.decision.config;

/**
 * A fault in a declaration.
 *
 * @param line counted from 1
 * @param subject what stands there
 * @param why why that can't be taken
 * @param suggestion what to write instead
 */
public record Problem(String file, int line, String subject, String why, String suggestion) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + subject + ": " + why + "; write: " + suggestion;
    }
}
