package org.fescueport.internal.direct.state;

import java.util.LinkedHashMap;
import org.fescueport.internal.direct.log.EventLog;

/**
 * The keys whose newest record cannot be used. Each is logged and counted when it becomes unusable
 * and when the reason changes, not for each record that repeats it. Not thread-safe.
 */
final class UnusableEntries {
    /** Keys beyond this number push out the oldest ones, which then count as new. */
    private static final int MAX_KEYS = 1_000;

    private final EventLog mLog;
    private final String mEvent;
    private final String mKeyName;
    private final LinkedHashMap<String, String> mReasons = new LinkedHashMap<>();
    private long mCount;

    /**
     * Creates an empty collection.
     *
     * @param event name of the log event
     * @param keyName name of the field of the event that holds the key
     */
    UnusableEntries(EventLog log, String event, String keyName) {
        mLog = log;
        mEvent = event;
        mKeyName = keyName;
    }

    /** Returns how often an entry was logged. */
    long count() {
        return mCount;
    }

    /** Adds the key of a record on which decoding failed. */
    void add(StateRecord record, Exception failure) {
        String reason = reason(failure);
        if (reason.equals(mReasons.put(record.key(), reason))) {
            return;
        }
        mCount++;
        mLog.change(mEvent)
                .with(mKeyName, record.key())
                .with("position", record.position())
                .with("reason", reason)
                .write();
        if (mReasons.size() > MAX_KEYS) {
            mReasons.pollFirstEntry();
        }
    }

    /** Removes the key of a record that can be used or removes the entry. */
    void remove(StateRecord record) {
        mReasons.remove(record.key());
    }

    private static String reason(Exception failure) {
        return failure instanceof StateDecoder.UnusableRecordException
                ? failure.getMessage()
                : failure.toString();
    }
}
