package org.fescueport.internal.http1;

/** The grammar of a status line: {@code HTTP/1.1 200 OK}, of which the reason may be empty. */
final class StatusLine {
    private static final String VERSION = "HTTP/1.";
    private static final int MINOR_VERSION = VERSION.length();
    private static final int STATUS = MINOR_VERSION + 2;
    private static final int REASON = STATUS + 4;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private StatusLine() {}

    /** Fails unless the line is a status line of HTTP/1. */
    static void check(CharSequence line) throws MalformedResponseException {
        if (!startsWithVersion(line)) {
            throw MalformedResponseException.of("a line that begins no response of HTTP/1");
        }
        if (!hasStatus(line)) {
            throw MalformedResponseException.of(
                    "a status other than three digits from " + MIN_STATUS + " to " + MAX_STATUS);
        }
        if (!Characters.isText(line, REASON)) {
            throw MalformedResponseException.of("a control character in a reason");
        }
        checkNoneWithin(line, REASON);
    }

    /**
     * Fails if another status line begins in this line. The response was cut off there, and the
     * lines that follow belong to the next one.
     */
    static void checkNoneWithin(CharSequence line, int from) throws MalformedResponseException {
        for (int i = from; i + REASON - 1 <= line.length(); i++) {
            if (Characters.startsWith(line, i, VERSION) && isAt(line, i)) {
                throw MalformedResponseException.of("a line into which another response runs");
            }
        }
    }

    /** Returns whether a status line begins here, of which the reason may be missing. */
    private static boolean isAt(CharSequence line, int index) {
        CharSequence rest = line.subSequence(index, line.length());
        boolean endsBehindStatus = rest.length() == REASON - 1;
        return startsWithVersion(rest) && hasStatus(endsBehindStatus ? rest + " " : rest);
    }

    /** Returns whether this status line is of HTTP/1.0. */
    static boolean isOldVersion(CharSequence line) {
        return line.charAt(MINOR_VERSION) == '0';
    }

    private static boolean startsWithVersion(CharSequence line) {
        return line.length() > MINOR_VERSION + 1
                && Characters.startsWith(line, 0, VERSION)
                && Characters.isDigit(line.charAt(MINOR_VERSION))
                && line.charAt(MINOR_VERSION + 1) == ' ';
    }

    /** Returns whether a status stands in its place, between two blanks. */
    private static boolean hasStatus(CharSequence line) {
        if (line.length() < REASON || line.charAt(REASON - 1) != ' ') {
            return false;
        }
        int status = 0;
        for (int i = STATUS; i < REASON - 1; i++) {
            if (!Characters.isDigit(line.charAt(i))) {
                return false;
            }
            status = 10 * status + line.charAt(i) - '0';
        }
        return status >= MIN_STATUS && status <= MAX_STATUS;
    }
}
