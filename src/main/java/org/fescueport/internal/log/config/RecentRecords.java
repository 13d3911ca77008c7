package org.fescueport.internal.log.config;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.wire.generated.ConfigEntry;
import org.fescueport.internal.wire.generated.ConfigRecords;
import org.fescueport.port.LogService.Entry;

/** The records folded last, kept for peers within a bound of bytes. Not thread-safe. */
final class RecentRecords {
    private static final int KEPT_BYTES_MAX = 256 * 1024;
    private static final int ANSWER_BYTES_MAX = 64 * 1024;

    private final ArrayDeque<Entry> mEntries = new ArrayDeque<>();
    private long mCompleteFrom;
    private int mBytes;

    /** Forgets everything; records are complete again from {@code position} on. */
    void restartAt(long position) {
        mEntries.clear();
        mBytes = 0;
        mCompleteFrom = position;
    }

    void add(Entry entry) {
        mEntries.addLast(entry);
        mBytes += entry.data().length;
        while (mBytes > KEPT_BYTES_MAX) {
            var dropped = mEntries.removeFirst();
            mBytes -= dropped.data().length;
            mCompleteFrom = dropped.offset() + 1;
        }
    }

    /** Returns what a peer that is at {@code from} lacks, as far as one answer holds. */
    ConfigRecords.Builder answer(long from, ConfigFold fold) {
        var next = Math.max(from, fold.position());
        var position = fold.position();
        var answer = ConfigRecords.newBuilder().setFrom(from).setNext(next).setPosition(position);
        if (from >= fold.position()) {
            return answer;
        }
        if (from < mCompleteFrom) {
            var snapshot = ConfigCodec.encode(fold.snapshot());
            return answer.setFrom(fold.position()).setSnapshot(ByteString.copyFrom(snapshot));
        }
        var bytes = 0;
        for (var entry : mEntries) {
            if (entry.offset() < from) {
                continue;
            }
            if (bytes > 0 && bytes + entry.data().length > ANSWER_BYTES_MAX) {
                return answer.setNext(entry.offset());
            }
            bytes += entry.data().length;
            answer.addEntries(
                    ConfigEntry.newBuilder()
                            .setOffset(entry.offset())
                            .setData(ByteString.copyFrom(entry.data())));
        }
        return answer;
    }
}
