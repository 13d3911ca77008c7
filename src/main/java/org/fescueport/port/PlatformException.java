package org.fescueport.port;

/**
 * A call to the platform or to a backend server that gave no result.
 *
 * <p>What matters to a caller is whether the call may have taken effect; {@link #effect()} tells.
 *
 * <pre>{@code
 * catch (PlatformException e) {
 *     if (e.effect() == Effect.NONE) retry();
 * }
 * }</pre>
 */
public final class PlatformException extends Exception {
    /** Whether the failed call may have taken effect. */
    public enum Effect {
        /** The call surely did not happen. */
        NONE,
        /** Whether the call happened cannot be known. */
        UNKNOWN
    }

    private static final long serialVersionUID = 1L;

    private final Effect mEffect;

    private PlatformException(Effect effect, String message, Throwable cause) {
        super(message, cause);
        mEffect = effect;
    }

    /** Returns an error for a call that surely did not happen. */
    public static PlatformException didNotHappen(String message, Throwable cause) {
        return new PlatformException(Effect.NONE, message, cause);
    }

    /** Returns an error for a call of which it cannot be known whether it happened. */
    public static PlatformException cannotBeKnown(String message, Throwable cause) {
        return new PlatformException(Effect.UNKNOWN, message, cause);
    }

    /** Returns whether the call may have taken effect. */
    public Effect effect() {
        return mEffect;
    }
}
