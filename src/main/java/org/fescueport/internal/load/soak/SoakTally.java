package org.fescueport.internal.load.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What all callers saw. */
final class SoakTally {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MOST_DETAILS = 20;

    private final Map<String, Long> mOutcomes = new TreeMap<>();
    private final List<String> mWrong = new ArrayList<>();
    private final List<String> mCut = new ArrayList<>();
    private final List<String> mNeverRun = new ArrayList<>();
    private final List<Lost> mLost = new ArrayList<>();
    private long mWrongCount;
    private long mCutCount;

    /** A connection that was lost in the middle of a call. */
    private record Lost(long atMillis, String router, String detail) {}

    /** Counts an outcome that needs no line of its own. */
    synchronized void count(String outcome) {
        mOutcomes.merge(outcome, 1L, Long::sum);
    }

    /** Counts an outcome that is not as in fair weather, and prints when and to whom it came. */
    void trouble(long atMillis, String outcome, String who) {
        count(outcome);
        System.out.println(atMillis + " " + outcome + " | " + who);
    }

    /** An answer was not the caller's own. */
    synchronized void wrong(String detail) {
        mWrongCount++;
        keep(mWrong, detail);
    }

    /** An answer ended early without a word. */
    synchronized void cut(String detail) {
        mCutCount++;
        keep(mCut, detail);
    }

    /** Whether this is a fault depends on whether that router was killed then. */
    synchronized void lost(long atMillis, String router, String detail) {
        mLost.add(new Lost(atMillis, router, detail));
    }

    /** All sendings with this key were told as not run. */
    synchronized void neverRun(String key) {
        mNeverRun.add(key);
    }

    synchronized ObjectNode toJson() {
        ObjectNode json = JSON.createObjectNode();
        json.set("outcomes", JSON.valueToTree(mOutcomes));
        json.put("wrong_answers", mWrongCount);
        json.put("cut_answers", mCutCount);
        json.set("details", JSON.valueToTree(Map.of("wrong", mWrong, "cut", mCut)));
        var lost = json.putArray("lost_connections");
        mLost.forEach(
                one ->
                        lost.addObject()
                                .put("at", one.atMillis())
                                .put("router", one.router())
                                .put("detail", one.detail()));
        var neverRun = json.putArray("never_run");
        mNeverRun.forEach(neverRun::add);
        return json;
    }

    private static void keep(List<String> details, String detail) {
        if (details.size() < MOST_DETAILS) {
            details.add(detail);
        }
    }
}
