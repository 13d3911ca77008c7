package org.fescueport.internal.ctl;

/** Ends a command with an exit code; the message says what happened and what to do. */
final class CtlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int mExitCode;

    private CtlException(int exitCode, String message, Throwable cause) {
        super(message, cause);
        mExitCode = exitCode;
    }

    static CtlException of(int exitCode, String message) {
        return new CtlException(exitCode, message, null);
    }

    static CtlException of(int exitCode, String message, Throwable cause) {
        return new CtlException(exitCode, message, cause);
    }

    int exitCode() {
        return mExitCode;
    }
}
