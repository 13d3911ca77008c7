package org.fescueport.internal.decision.admission;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks how long complete responses of each route have taken recently. Requests that timed out or
 * failed are not counted, so a route whose requests time out looks faster than it is. Not
 * thread-safe.
 *
 * <pre>{@code
 * times.onResponse("/summaries/", Duration.ofMillis(2_300));
 * Optional<Duration> usual = times.usual("/summaries/");
 * }</pre>
 */
public final class ResponseTimes {
    /** Maximum number of routes; the one that was used least recently is dropped. */
    private static final int MAX_ROUTES = 1_024;

    /** Number of responses of each route that are kept. */
    private static final int WINDOW = 32;

    /** Part of the kept responses that took at most the usual time. */
    private static final double USUAL_QUANTILE = 0.9;

    private static final class Window {
        private final int[] mMillis = new int[WINDOW];
        private int mCount;
        private int mNext;

        void add(Duration time) {
            mMillis[mNext] = (int) Math.min(Integer.MAX_VALUE, time.toMillis());
            mNext = (mNext + 1) % WINDOW;
            mCount = Math.min(mCount + 1, WINDOW);
        }

        Duration quantile() {
            int[] sorted = Arrays.copyOf(mMillis, mCount);
            Arrays.sort(sorted);
            int index = (int) Math.ceil(USUAL_QUANTILE * mCount) - 1;
            return Duration.ofMillis(sorted[index]);
        }
    }

    private final Map<String, Window> mWindows =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Window> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    private ResponseTimes() {}

    /** Returns a tracker that has seen no responses. */
    public static ResponseTimes create() {
        return new ResponseTimes();
    }

    /** Records a complete response and the time since its request was received. */
    public void onResponse(String route, Duration time) {
        mWindows.computeIfAbsent(route, name -> new Window()).add(time);
    }

    /**
     * Returns the time within which nine tenths of the recent responses of a route were complete;
     * empty if there were none.
     */
    public Optional<Duration> usual(String route) {
        return Optional.ofNullable(mWindows.get(route)).map(Window::quantile);
    }
}
