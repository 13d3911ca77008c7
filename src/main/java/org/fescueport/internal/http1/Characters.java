package org.fescueport.internal.http1;

/** The classes of characters that the grammar of HTTP/1.1 names; a character is one byte. */
final class Characters {
    private static final int DELETE = 0x7f;

    private Characters() {}

    static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }

    static boolean startsWith(CharSequence line, int from, String start) {
        if (line.length() < from + start.length()) {
            return false;
        }
        for (int i = 0; i < start.length(); i++) {
            if (line.charAt(from + i) != start.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether there is no control character but tabs from this index on. */
    static boolean isText(CharSequence line, int from) {
        for (int i = from; i < line.length(); i++) {
            char c = line.charAt(i);
            if ((c < ' ' && c != '\t') || c == DELETE) {
                return false;
            }
        }
        return true;
    }
}
