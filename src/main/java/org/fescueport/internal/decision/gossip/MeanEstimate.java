package org.fescueport.internal.decision.gossip;

/**
 * One agent's estimate of the mean load of its pool, by averaging with a few peers.
 *
 * <p>An exchange leaves both peers with the average of their estimates, which conserves the sum;
 * each agent adds the changes of its own load. A lost message, or an agent that goes, leaves a
 * small error in the sum, so the estimate also leaks towards the agent's own load: errors fade, and
 * averaging keeps the estimate close to the mean. Not safe for use by several threads.
 *
 * <pre>{@code
 * estimate.onRound(ownLoad);                              // once a round
 * double told = estimate.tokens();                        // sent to a peer
 * estimate.onExchange(told, answer);                      // with the peer's answer
 * double answer = estimate.answer(told);                  // at the peer
 * }</pre>
 */
public final class MeanEstimate {
    private final double mLeak;
    private double mTokens;
    private double mOwnLoad;
    private boolean mKnown;

    private MeanEstimate(double leak) {
        mLeak = leak;
    }

    /**
     * Returns an estimate that knows nothing yet.
     *
     * @param leak part of the distance to the own load that it moves in each round
     */
    public static MeanEstimate create(double leak) {
        return new MeanEstimate(leak);
    }

    /** Begins a round with the own load as it is now. */
    public void onRound(double ownLoad) {
        if (!mKnown) {
            mTokens = ownLoad;
            mKnown = true;
        } else {
            mTokens += ownLoad - mOwnLoad;
            mTokens += mLeak * (ownLoad - mTokens);
        }
        mOwnLoad = ownLoad;
    }

    /** Takes a peer's answer to the estimate that was told to it. */
    public void onExchange(double told, double answer) {
        mTokens += (answer - told) / 2;
    }

    /** Takes a peer's estimate and returns the one to answer with. */
    public double answer(double peerTokens) {
        double before = mKnown ? mTokens : peerTokens;
        mTokens = (before + peerTokens) / 2;
        return before;
    }

    /** Returns the estimated mean in tokens, at least 0. */
    public double tokens() {
        return Math.max(0, mTokens);
    }
}
