package org.fescueport.internal.decision.config;

/**
 * An error in a declaration file.
 *
 * @param file the file's path
 * @param line the line number, counted from 1
 * @param subject the text or field that is in error
 * @param why the reason for which it is rejected
 * @param expected what the file may contain there
 */
public record Problem(String file, int line, String subject, String why, String expected) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + subject + ": " + why + "; expected: " + expected;
    }
}
