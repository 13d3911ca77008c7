package org.fescueport.internal.standin.engine;

import io.micrometer.core.instrument.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.standin.FaultSwitch;

/** Events of a prefix cache, published late and with gaps. */
final class CacheEvents {
    /** What became of a block. */
    enum Kind {
        STORED,
        EVICTED
    }

    /** One event; a gap in the numbers shows that events were lost. */
    record Event(long number, Kind kind, long block) {}

    private record Pending(Event event, long publishedAtMillis) {}

    private static final int KEPT_EVENTS = 8192;

    private final Clock mClock;
    private final FaultSwitch mFaults;
    private final ArrayDeque<Pending> mEvents = new ArrayDeque<>();
    private long mLastNumber;

    private CacheEvents(Clock clock, FaultSwitch faults) {
        mClock = clock;
        mFaults = faults;
    }

    static CacheEvents create(Clock clock, FaultSwitch faults) {
        return new CacheEvents(clock, faults);
    }

    synchronized void add(Kind kind, long block) {
        mLastNumber++;
        if (mFaults.happens(mFaults.current().dropCacheEvents())) {
            return;
        }
        long publishedAt = mClock.wallTime() + mFaults.current().lagMillis();
        mEvents.add(new Pending(new Event(mLastNumber, kind, block), publishedAt));
        if (mEvents.size() > KEPT_EVENTS) {
            mEvents.remove();
        }
    }

    /** Returns published events with a number above {@code after}, at most {@code limit}. */
    synchronized List<Event> after(long after, int limit) {
        var events = new ArrayList<Event>();
        for (var pending : mEvents) {
            if (pending.publishedAtMillis() > mClock.wallTime() || events.size() == limit) {
                break;
            }
            if (pending.event().number() > after) {
                events.add(pending.event());
            }
        }
        return events;
    }
}
