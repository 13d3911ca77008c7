package org.fescueport.internal.http1;

/**
 * The grammar of a field line: a name, a colon and a value, which may be empty. A line that
 * continues the one before it (obsolete line folding) is refused, as RFC 9112 lets a proxy do.
 */
final class FieldLine {
    private static final String NAME_CHARACTERS = "!#$%&'*+-.^_`|~";
    private static final boolean[] IS_NAME_CHARACTER = new boolean[0x100];

    static {
        for (char c = 0; c < IS_NAME_CHARACTER.length; c++) {
            boolean isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
            IS_NAME_CHARACTER[c] =
                    isLetter || Characters.isDigit(c) || NAME_CHARACTERS.indexOf(c) >= 0;
        }
    }

    private FieldLine() {}

    /**
     * Fails unless the line is a field line.
     *
     * @return the index of the colon
     */
    static int check(CharSequence line) throws MalformedResponseException {
        int colon = nameEnd(line);
        if (colon == 0 || colon == line.length() || line.charAt(colon) != ':') {
            throw MalformedResponseException.of("a line that is no field with a name and a value");
        }
        if (!Characters.isText(line, colon + 1)) {
            throw MalformedResponseException.of("a control character in the value of a field");
        }
        StatusLine.checkNoneWithin(line, colon + 1);
        return colon;
    }

    private static int nameEnd(CharSequence line) {
        int end = 0;
        while (end < line.length() && IS_NAME_CHARACTER[line.charAt(end)]) {
            end++;
        }
        return end;
    }
}
