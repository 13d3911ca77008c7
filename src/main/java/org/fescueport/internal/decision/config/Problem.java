package org.fescueport.internal.decision.config;

/**
 * A fault in a declaration.
 *
 * @param line counted from 1
 * @param what what stands there
 * @param why why that can't be taken
 * @param instead what to write instead
 */
public record Problem(String file, int line, String what, String why, String instead) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + what + ": " + why + "; write: " + instead;
    }
}
