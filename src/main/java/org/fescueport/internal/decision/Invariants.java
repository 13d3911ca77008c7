package org.fescueport.internal.decision;

import java.util.concurrent.atomic.LongAdder;

/**
 * Checks that are on in every run, not only in tests.
 *
 * <pre>{@code
 * Invariants.check(running <= 1, "attempt %s runs %d times", attempt, running);
 * }</pre>
 */
public final class Invariants {
    private static final LongAdder VIOLATIONS = new LongAdder();

    private Invariants() {}

    /** Counts a violation and throws {@link InvariantViolation} unless the condition holds. */
    public static void check(boolean holds, String format, Object... arguments) {
        if (!holds) {
            VIOLATIONS.increment();
            throw new InvariantViolation(String.format(format, arguments));
        }
    }

    /** Counts a violation that cannot be undone any more, unless the condition holds. */
    public static boolean observe(boolean holds) {
        if (!holds) {
            VIOLATIONS.increment();
        }
        return holds;
    }

    /** Returns how many violations this process has seen. */
    public static long violations() {
        return VIOLATIONS.sum();
    }

    /** Thrown where going on would break a promise to a caller. */
    public static final class InvariantViolation extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        private InvariantViolation(String message) {
            super("invariant broken: " + message);
        }
    }
}
