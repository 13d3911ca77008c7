package org.fescueport.internal.direct.log;

import java.util.Objects;

/** A line under construction; made by {@link EventLog}. */
public final class LogLine {
    private static final int TYPICAL_LENGTH = 160;

    private final EventLog mLog;
    private final boolean mTaken;
    private final StringBuilder mText;

    LogLine(EventLog log, String event, boolean change) {
        mLog = log;
        mTaken = log.take(change);
        // A line that is left out costs no more than being counted.
        mText = new StringBuilder(mTaken ? TYPICAL_LENGTH : 0);
        if (!mTaken) {
            return;
        }
        mText.append("{\"at\":").append(log.wallMillis());
        with("node", log.node());
        with("event", event);
    }

    /** Adds a text. */
    public LogLine with(String name, Object value) {
        if (mTaken) {
            name(name).append('"');
            escape(Objects.toString(value));
            mText.append('"');
        }
        return this;
    }

    /** Adds a number. */
    public LogLine with(String name, long value) {
        if (mTaken) {
            name(name).append(value);
        }
        return this;
    }

    /** Hands the line to the writer if the budget of the second in which it began allows it. */
    public void write() {
        if (mTaken) {
            mLog.add(text());
        }
    }

    String text() {
        return mText.toString() + '}';
    }

    private StringBuilder name(String name) {
        return mText.append(",\"").append(name).append("\":");
    }

    private void escape(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                mText.append('\\').append(c);
            } else if (c < ' ') {
                mText.append("\\u00").append(Character.forDigit(c >> 4, 16));
                mText.append(Character.forDigit(c & 15, 16));
            } else {
                mText.append(c);
            }
        }
    }
}
