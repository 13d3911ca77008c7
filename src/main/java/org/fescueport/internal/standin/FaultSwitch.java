package org.fescueport.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Random;

/** The faults that are switched on now, and the seeded chance by which they strike. */
public final class FaultSwitch {
    private final Random mRandom;
    private volatile Faults mCurrent;

    private FaultSwitch(Faults first, long seed) {
        mCurrent = first;
        mRandom = new Random(seed);
    }

    /** Returns a switch that starts with these faults; a seed gives the same strikes again. */
    public static FaultSwitch create(Faults first, long seed) {
        return new FaultSwitch(first, seed);
    }

    /** Returns the faults that are switched on. */
    public Faults current() {
        return mCurrent;
    }

    /** Changes the faults that {@code change} names and leaves the others as they are. */
    public synchronized Faults change(JsonNode change) throws BadRequestException {
        var merged = Json.of(mCurrent);
        var names = change.fieldNames();
        while (names.hasNext()) {
            var name = names.next();
            if (!merged.has(name)) {
                throw new BadRequestException("unknown fault " + name + " among " + merged);
            }
            merged.set(name, change.get(name));
        }
        mCurrent = Json.to(merged, Faults.class);
        return mCurrent;
    }

    /** Returns whether something that strikes this share of times strikes now. */
    public synchronized boolean happens(double share) {
        return share > 0 && mRandom.nextDouble() < share;
    }

    /** Returns whether the answer to a call that took effect is to be lost. */
    public synchronized boolean losesAnswer() {
        int left = mCurrent.loseNextAnswers();
        if (left > 0) {
            mCurrent = withLoseNextAnswers(left - 1);
            return true;
        }
        return happens(mCurrent.loseAnswersAfterEffect());
    }

    private Faults withLoseNextAnswers(int left) {
        try {
            return Json.to(Json.of(mCurrent).put("loseNextAnswers", left), Faults.class);
        } catch (BadRequestException e) {
            throw new IllegalStateException("faults could not be copied", e);
        }
    }
}
