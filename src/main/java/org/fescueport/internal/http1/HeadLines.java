package org.fescueport.internal.http1;

/** Checks the lines of a response's head one after the other, from the status line on. */
public final class HeadLines {
    private enum Next {
        STATUS_LINE,
        FIELD,
        NOTHING
    }

    private Next mNext = Next.STATUS_LINE;

    /** Absent before the status line. */
    private BodyFraming mFraming;

    private HeadLines() {}

    /** Returns an object that expects the status line. */
    public static HeadLines create() {
        return new HeadLines();
    }

    /**
     * Checks the next line.
     *
     * @param line without its end
     */
    public void accept(CharSequence line) throws MalformedResponseException {
        switch (mNext) {
            case STATUS_LINE -> {
                StatusLine.check(line);
                mFraming = new BodyFraming(StatusLine.isOldVersion(line));
                mNext = Next.FIELD;
            }
            case FIELD -> {
                if (line.isEmpty()) {
                    mFraming.onEnd();
                    mNext = Next.NOTHING;
                } else {
                    mFraming.onField(line, FieldLine.check(line));
                }
            }
            case NOTHING -> throw new IllegalStateException("The head has ended.");
            default -> throw new IllegalStateException("next " + mNext);
        }
    }

    /** Returns whether the empty line has come that ends the head. */
    public boolean isComplete() {
        return mNext == Next.NOTHING;
    }
}
