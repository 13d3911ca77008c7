package org.fescueport.internal.http1;

/**
 * What the fields of one head tell about the end of the body. Refused is what two readers may
 * understand in two ways: a length that is no plain number, more than one length, a length beside a
 * transfer coding, and a transfer coding in a response of HTTP/1.0.
 */
final class BodyFraming {
    private static final String LENGTH = "content-length";
    private static final String CODING = "transfer-encoding";

    /** So many fit into a 64-bit number. */
    private static final int MAX_DIGITS = 18;

    private final boolean mIsOldVersion;
    private String mLength;
    private boolean mHasCoding;

    /**
     * Creates an object for one head.
     *
     * @param isOldVersion whether it is of HTTP/1.0, which has no transfer codings
     */
    BodyFraming(boolean isOldVersion) {
        mIsOldVersion = isOldVersion;
    }

    /** Notes a field line, of which the colon stands at this index. */
    void onField(CharSequence line, int colon) throws MalformedResponseException {
        if (isName(line, colon, LENGTH)) {
            onLength(line.subSequence(colon + 1, line.length()));
        } else if (isName(line, colon, CODING)) {
            mHasCoding = true;
        }
    }

    /** The head has ended. */
    void onEnd() throws MalformedResponseException {
        if (mHasCoding && mLength != null) {
            throw MalformedResponseException.of("a length beside a transfer coding");
        }
        if (mHasCoding && mIsOldVersion) {
            throw MalformedResponseException.of("a transfer coding in a response of HTTP/1.0");
        }
    }

    private void onLength(CharSequence value) throws MalformedResponseException {
        String length = value.toString().strip();
        if (length.isEmpty()
                || length.length() > MAX_DIGITS
                || !length.chars().allMatch(c -> Characters.isDigit((char) c))) {
            throw MalformedResponseException.of("a length that is no plain number");
        }
        if (mLength != null) {
            throw MalformedResponseException.of("more than one length");
        }
        mLength = length;
    }

    private static boolean isName(CharSequence line, int end, String name) {
        if (end != name.length()) {
            return false;
        }
        for (int i = 0; i < end; i++) {
            if (Character.toLowerCase(line.charAt(i)) != name.charAt(i)) {
                return false;
            }
        }
        return true;
    }
}
