package org.fescueport.internal.decision.gossip;

/**
 * One agent's estimate of the mean load of its pool, by averaging with a few peers.
 *
 * <p>An exchange leaves both peers with the average of their estimates, which conserves the sum;
 * each agent adds the changes of its own load. A lost message, or an agent that goes, leaves a
 * small error in the sum, so the estimate also leaks towards the agent's own load: errors fade, and
 * averaging keeps the estimates close to the mean. Not safe for use by several threads.
 *
 * <p>An agent that has heard no peer yet takes over a peer's estimate and adds nothing of its own,
 * so that agents that join with no load do not pull the mean down.
 *
 * <pre>{@code
 * estimate.onRound(ownLoad);                    // once a round
 * double told = estimate.tell();                // sent to a peer
 * estimate.onAnswer(told, answer);              // with the peer's answer
 * double answer = estimate.answer(told);        // at the peer
 * }</pre>
 */
public final class MeanEstimate {
    /** Told by an agent that has heard no peer yet. */
    public static final double UNKNOWN = Double.NaN;

    /** Fewest and most of the peers' last estimates over which the mean is taken. */
    private static final int LEAST_HEARD = 8;

    private static final int MOST_HEARD = 16;
    private static final int REPLICAS_PER_HEARD = 8;

    private final double mLeak;
    private final double[] mHeard;
    private int mHeardCount;
    private double mTokens;
    private double mOwnLoad;
    private boolean mKnown;

    private MeanEstimate(double leak, int heard) {
        mLeak = leak;
        mHeard = new double[heard];
    }

    /**
     * Returns an estimate that knows nothing yet.
     *
     * @param leak part of the distance to the own load that it moves in each round
     * @param replicas of the pool; the mean of a small one moves faster, so less is averaged
     */
    public static MeanEstimate create(double leak, int replicas) {
        int heard = Math.clamp(replicas / REPLICAS_PER_HEARD, LEAST_HEARD, MOST_HEARD);
        return new MeanEstimate(leak, heard);
    }

    /** Begins a round with the own load as it is now. */
    public void onRound(double ownLoad) {
        if (!mKnown) {
            mTokens = ownLoad;
        } else {
            mTokens += ownLoad - mOwnLoad;
            mTokens += mLeak * (ownLoad - mTokens);
        }
        mOwnLoad = ownLoad;
    }

    /** Returns what to tell a peer; {@link #UNKNOWN} before a peer was heard. */
    public double tell() {
        return mKnown ? mTokens : UNKNOWN;
    }

    /** Takes a peer's answer to what was told to it. */
    public void onAnswer(double told, double answer) {
        hear(answer);
        boolean knew = !Double.isNaN(told);
        if (knew && !Double.isNaN(answer)) {
            mTokens += (answer - told) / 2;
        } else if (!knew && !Double.isNaN(answer)) {
            mTokens = answer;
        }
        mKnown = true;
    }

    /** Takes what a peer told and returns the answer. */
    public double answer(double told) {
        double answer = tell();
        hear(told);
        if (mKnown && !Double.isNaN(told)) {
            mTokens = (mTokens + told) / 2;
        } else if (!mKnown && !Double.isNaN(told)) {
            mTokens = told;
        }
        mKnown = true;
        return answer;
    }

    /**
     * Returns the estimated mean in tokens; 0 before a peer was heard. It is the average of what
     * peers told last: the own estimate follows the own load too closely, and would let a loaded
     * agent believe that all are loaded.
     */
    public double tokens() {
        int count = Math.min(mHeardCount, mHeard.length);
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += mHeard[i];
        }
        return count == 0 ? 0 : Math.max(0, sum / count);
    }

    private void hear(double told) {
        if (!Double.isNaN(told)) {
            mHeard[mHeardCount++ % mHeard.length] = told;
        }
    }
}
