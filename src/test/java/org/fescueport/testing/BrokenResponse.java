package org.fescueport.testing;

import java.nio.charset.StandardCharsets;

/**
 * Responses that HTTP/1.1 does not allow, and that no reader may take for a response. Their bodies
 * are sound except where a row is about them.
 */
public enum BrokenResponse {
    STATUS_000("HTTP/1.1 000 None"),
    STATUS_099("HTTP/1.1 099 None"),
    STATUS_600("HTTP/1.1 600 None"),
    STATUS_999("HTTP/1.1 999 None"),
    STATUS_OF_TWO_DIGITS("HTTP/1.1 20 OK"),
    STATUS_OF_FOUR_DIGITS("HTTP/1.1 2000 OK"),
    STATUS_WITH_SIGN("HTTP/1.1 +20 OK"),
    STATUS_WITH_MINUS("HTTP/1.1 -200 OK"),
    STATUS_WITH_LETTER("HTTP/1.1 2O0 OK"),
    STATUS_WITH_FRACTION("HTTP/1.1 200.1 OK"),
    STATUS_BEFORE_LETTERS("HTTP/1.1 200OK"),
    NO_STATUS("HTTP/1.1 OK"),
    NOTHING_BEHIND_STATUS("HTTP/1.1 200"),
    TWO_BLANKS_BEFORE_STATUS("HTTP/1.1  200 OK"),
    TAB_BEFORE_STATUS("HTTP/1.1\t200 OK"),
    TAB_BEHIND_STATUS("HTTP/1.1 200\tOK"),
    BLANK_BEFORE_VERSION(" HTTP/1.1 200 OK"),
    EMPTY_LINE_BEFORE_VERSION("\r\nHTTP/1.1 200 OK"),
    CONTROL_BEFORE_VERSION("\u0001HTTP/1.1 200 OK"),
    VERSION_IN_LOWER_CASE("http/1.1 200 OK"),
    VERSION_2("HTTP/2.0 200 OK"),
    VERSION_WITHOUT_POINT("HTTP/11 200 OK"),
    VERSION_OF_TWO_DIGITS("HTTP/1.11 200 OK"),
    OTHER_PROTOCOL("ICY 200 OK"),
    NUL_IN_REASON("HTTP/1.1 200 O\0K"),
    DELETE_IN_REASON("HTTP/1.1 200 O\u007fK"),
    CR_IN_REASON("HTTP/1.1 200 O\rK"),
    INTERIM_STATUS_000("HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK"),
    STATUS_000_BEHIND_INTERIM("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None"),
    BLANK_IN_NAME(field("X Probe: 1")),
    TAB_IN_NAME(field("X\tProbe: 1")),
    CONTROL_IN_NAME(field("X\u0001Probe: 1")),
    NUL_IN_NAME(field("X\0Probe: 1")),
    DELETE_IN_NAME(field("X\u007fProbe: 1")),
    CR_IN_NAME(field("X\rProbe: 1")),
    VERTICAL_TAB_IN_NAME(field("X\u000bProbe: 1")),
    HIGH_CHARACTER_IN_NAME(field("X\u00e9Probe: 1")),
    SEPARATOR_IN_NAME(field("X/Probe: 1")),
    BLANK_BEFORE_NAME(field("X-Other: 1\r\n X-Probe: 1")),
    BLANK_BEFORE_FIRST_NAME(field(" X-Probe: 1")),
    BLANK_BEFORE_COLON(field("X-Probe : 1")),
    TAB_BEFORE_COLON(field("X-Probe\t: 1")),
    CR_BEFORE_COLON(field("X-Probe\r: 1")),
    NO_NAME(field(": 1")),
    NO_COLON(field("X-Probe")),
    FOLDED_WITH_BLANK(field("X-Probe: 1\r\n 2")),
    FOLDED_WITH_TAB(field("X-Probe: 1\r\n\t2")),
    LENGTH_BEFORE_BLANK_IN_NAME("HTTP/1.1 200 OK\r\n{fields}Content-Length x: 3\r\n\r\nwhole"),
    LENGTH_BEFORE_TAB_IN_NAME("HTTP/1.1 200 OK\r\n{fields}Content-Length\tx: 3\r\n\r\nwhole"),
    CODING_BEFORE_BLANK_IN_NAME(
            "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding x: chunked\r\n\r\n3\r\nwho\r\n0\r\n\r\n"),
    BLANK_IN_NAME_OF_INTERIM("HTTP/1.1 103 Early\r\nX Probe: 1\r\n\r\nHTTP/1.1 200 OK"),
    CONTROL_IN_VALUE(field("X-Probe: a\u0001b")),
    NUL_IN_VALUE(field("X-Probe: a\0b")),
    DELETE_IN_VALUE(field("X-Probe: a\u007fb")),
    ESCAPE_IN_VALUE(field("X-Probe: \u001b[2J")),
    CR_IN_VALUE(field("X-Probe: a\rX-Other: b")),
    CR_BEFORE_END_OF_LINE(field("X-Probe: a\r")),
    CR_BEFORE_END_OF_HEAD("HTTP/1.1 200 OK\r\n{fields}Content-Length: 5\r\n\r\r\nwhole"),
    LF_WITHOUT_CR(field("X-Probe: a\nX-Other: b")),
    LF_BEHIND_STATUS_LINE("HTTP/1.1 200 OK\n{fields}Content-Length: 5\r\n\r\nwhole"),
    LF_AT_END_OF_HEAD("HTTP/1.1 200 OK\r\n{fields}Content-Length: 5\r\n\nwhole"),
    STATUS_LINE_IN_REASON("HTTP/1.1 204 NHTTP/1.1 200 OK"),
    STATUS_LINE_AS_REASON("HTTP/1.1 500 HTTP/1.1 200 "),
    STATUS_LINE_IN_VALUE(field("Content-Type: appHTTP/1.1 500 Not Done")),
    STATUS_LINE_AS_VALUE(field("Content-Type: HTTP/1.1 500 Not Done")),
    STATUS_LINE_WITHOUT_REASON_IN_VALUE(field("Content-Type: aHTTP/1.0 500")),
    STATUS_LINE_IN_VALUE_OF_INTERIM("HTTP/1.1 103 Early\r\nLink: aHTTP/1.1 200 OK"),
    LENGTH_WITH_SIGN(lengths("Content-Length: +5")),
    LENGTH_WITH_MINUS(lengths("Content-Length: -5")),
    LENGTH_WITH_BLANK(lengths("Content-Length: 5 5")),
    LENGTH_IN_HEX(lengths("Content-Length: 0x5")),
    LENGTH_WITH_FRACTION(lengths("Content-Length: 5.0")),
    LENGTH_OF_NOTHING(lengths("Content-Length:")),
    LENGTH_OF_LETTERS(lengths("Content-Length: five")),
    LENGTH_OF_MANY_DIGITS(lengths("Content-Length: 99999999999999999999")),
    LIST_OF_LENGTHS(lengths("Content-Length: 5, 5")),
    LIST_OF_LENGTHS_THAT_DIFFER(lengths("Content-Length: 5, 3")),
    LENGTHS_THAT_DIFFER(lengths("Content-Length: 5\r\nContent-Length: 3")),
    LENGTH_TWICE(lengths("Content-Length: 5\r\nContent-Length: 5")),
    LENGTH_BESIDE_CODING(
            "HTTP/1.1 200 OK\r\n{fields}Content-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "5\r\nwhole\r\n0\r\n\r\n"),
    CODING_BEFORE_LENGTH(
            "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n"
                    + "5\r\nwhole\r\n0\r\n\r\n"),
    CODING_IN_OLD_VERSION(
            "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n"
                    + "5\r\nwhole\r\n0\r\n\r\n"),
    CHUNK_WITHOUT_SIZE(chunks("\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_WITH_SIGN(chunks("+5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_WITH_MINUS(chunks("-5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_WITH_PREFIX(chunks("0x5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEHIND_BLANK(chunks(" 5\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_BLANK(chunks("5 \r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_LETTERS(chunks("5 x\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_CONTROL(chunks("5\u0001\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_SIZE_TOO_LARGE(chunks("100000005\r\nwhole\r\n0\r\n\r\n")),
    CONTROL_IN_CHUNK_EXTENSION(chunks("5;a=\u0001\r\nwhole\r\n0\r\n\r\n")),
    CR_IN_CHUNK_EXTENSION(chunks("5;a\rb\r\nwhole\r\n0\r\n\r\n")),
    LF_BEHIND_CHUNK_SIZE(chunks("5\nwhole\r\n0\r\n\r\n")),
    LF_BEHIND_CHUNK_DATA(chunks("5\r\nwhole\n0\r\n\r\n")),
    NO_END_OF_CHUNK_DATA(chunks("5\r\nwhole0\r\n\r\n")),
    CHUNK_DATA_TOO_LONG(chunks("3\r\nwhole\r\n0\r\n\r\n")),
    CHUNK_DATA_TOO_SHORT(chunks("6\r\nwhole\r\n0\r\n\r\n")),
    LAST_CHUNK_BEFORE_LETTERS(chunks("5\r\nwhole\r\n0x\r\n\r\n")),
    LAST_CHUNK_WITH_MINUS(chunks("5\r\nwhole\r\n-0\r\n\r\n")),
    BLANK_IN_NAME_OF_TRAILER(chunks("5\r\nwhole\r\n0\r\nX Sum: 1\r\n\r\n")),
    TRAILER_WITHOUT_COLON(chunks("5\r\nwhole\r\n0\r\nX-Sum\r\n\r\n")),
    FOLDED_TRAILER(chunks("5\r\nwhole\r\n0\r\nX-Sum: 1\r\n 2\r\n\r\n")),
    CONTROL_IN_VALUE_OF_TRAILER(chunks("5\r\nwhole\r\n0\r\nX-Sum: \0\r\n\r\n")),
    LF_BEHIND_TRAILER(chunks("5\r\nwhole\r\n0\r\nX-Sum: 1\n\r\n")),
    LF_AT_END_OF_TRAILERS(chunks("5\r\nwhole\r\n0\r\n\n"));

    /** Holds the place of fields that a test adds to the final head. */
    private static final String FIELDS = "{fields}";

    /** What follows the start of a head, unless a row says more. */
    private static final String REST = "\r\n{fields}Content-Length: 5\r\n\r\nwhole";

    private final String mText;

    BrokenResponse(String text) {
        mText = text.contains(FIELDS) ? text : text + REST;
    }

    private static String field(String line) {
        return "HTTP/1.1 200 OK\r\n" + line;
    }

    private static String lengths(String lines) {
        return "HTTP/1.1 200 OK\r\n{fields}" + lines + "\r\n\r\nwhole";
    }

    private static String chunks(String body) {
        return "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n" + body;
    }

    /** Returns the bytes with these fields among those of the final head. */
    public byte[] bytes(String fields) {
        return mText.replace(FIELDS, fields).getBytes(StandardCharsets.ISO_8859_1);
    }
}
