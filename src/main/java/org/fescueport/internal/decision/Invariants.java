package org.fescueport.internal.decision;

import java.util.concurrent.atomic.LongAdder;

/**
 * Invariant checks that are active in production as well as in tests.
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

    /**
     * Counts a violation unless the condition holds, but does not throw. Use it for violations that
     * have already happened and cannot be undone. Returns {@code holds}.
     */
    public static boolean observe(boolean holds) {
        if (!holds) {
            VIOLATIONS.increment();
        }
        return holds;
    }

    /** Returns the number of violations in this process. */
    public static long violations() {
        return VIOLATIONS.sum();
    }

    /** Thrown if continuing would break a guarantee to a caller. */
    public static final class InvariantViolation extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        private InvariantViolation(String message) {
            super("invariant violated: " + message);
        }
    }
}
