package org.fescueport.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Random;

/** Holds the injected faults, and decides at random, from a seed, which calls they affect. */
public final class FaultSwitch {
    private final Random mRandom;
    private volatile Faults mCurrent;

    private FaultSwitch(Faults first, long seed) {
        mCurrent = first;
        mRandom = new Random(seed);
    }

    /** Creates a switch with these initial faults; the random decisions repeat for a seed. */
    public static FaultSwitch create(Faults first, long seed) {
        return new FaultSwitch(first, seed);
    }

    /** Returns the faults in effect. */
    public Faults current() {
        return mCurrent;
    }

    /** Sets the faults that are fields of {@code change}; the others keep their values. */
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

    /** Draws whether an event with the probability {@code share} happens. */
    public synchronized boolean happens(double share) {
        return share > 0 && mRandom.nextDouble() < share;
    }

    /** Decides whether to cut the connection of a call after its effect. */
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
