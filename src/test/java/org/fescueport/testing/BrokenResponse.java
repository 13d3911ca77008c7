package org.fescueport.testing;

import java.nio.charset.StandardCharsets;

/** Responses that HTTP/1.1 does not allow, and that no reader may take for a response. */
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
    STATUS_000_BEHIND_INTERIM("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None");

    private static final String REST = "\r\n{fields}Content-Length: 5\r\n\r\nwhole";

    private static final String FIELDS = "{fields}";

    private final String mText;

    BrokenResponse(String text) {
        mText = text.contains(FIELDS) ? text : text + REST;
    }

    /** Returns the bytes with these fields among those of the final head. */
    public byte[] bytes(String fields) {
        return mText.replace(FIELDS, fields).getBytes(StandardCharsets.ISO_8859_1);
    }
}
