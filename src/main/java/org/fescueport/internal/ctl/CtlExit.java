package org.fescueport.internal.ctl;

/** Exit codes of {@code fescuectl}, besides those that all programs share. */
final class CtlExit {
    /** A declaration is wrong; nothing was published. */
    static final int INVALID = 10;

    /** Another change came first, or clashes; publish again from the current version. */
    static final int LOST = 11;

    /** It cannot be known whether a change is in force. */
    static final int UNKNOWN = 12;

    /** A node lags behind, can't be reached, or can't know whether it is current. */
    static final int LAGS = 13;

    /** Declarations differ from what is in force. */
    static final int DIFFERS = 14;

    private CtlExit() {}
}
