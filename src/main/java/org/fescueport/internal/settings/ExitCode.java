package org.fescueport.internal.settings;

/** Exit codes that all programs share. */
public final class ExitCode {
    /** Done, or stopped as asked. */
    public static final int OK = 0;

    /** Failed while running. */
    public static final int FAILED = 1;

    /** The command line or a setting is wrong; nothing was started. */
    public static final int USAGE = 2;

    /** Could not start, for example because the port is taken. */
    public static final int CANNOT_START = 3;

    /** A part of the program kept failing, so that the program gave up. */
    public static final int GAVE_UP = 4;

    private ExitCode() {}
}
