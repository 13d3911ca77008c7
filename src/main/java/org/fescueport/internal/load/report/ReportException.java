package org.fescueport.internal.load.report;

/** A result that cannot be read; the message names the file and what is wrong with it. */
final class ReportException extends Exception {
    private ReportException(String message, Throwable cause) {
        super(message, cause);
    }

    static ReportException of(Object file, String what) {
        return of(file, what, null);
    }

    static ReportException of(Object file, String what, Throwable cause) {
        return new ReportException(
                "Cannot use the result " + file + ": " + what + ". Leave it out, or play it again.",
                cause);
    }
}
