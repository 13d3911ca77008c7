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
    private static final int MIN_SAMPLES = 8;

    private static final int MAX_SAMPLES = 16;
    private static final int REPLICAS_PER_SAMPLE = 8;

    private final double mLeak;
    private final double[] mPeerEstimates;
    private int mPeerEstimateCount;
    private double mEstimate;
    private double mOwnLoad;
    private boolean mInitialized;

    private MeanEstimate(double leak, int samples) {
        mLeak = leak;
        mPeerEstimates = new double[samples];
    }

    /**
     * Returns an estimate that knows nothing yet.
     *
     * @param leak part of the distance to the own load that it moves in each round
     * @param replicas of the pool; the mean of a small one moves faster, so less is averaged
     */
    public static MeanEstimate create(double leak, int replicas) {
        int samples = Math.clamp(replicas / REPLICAS_PER_SAMPLE, MIN_SAMPLES, MAX_SAMPLES);
        return new MeanEstimate(leak, samples);
    }

    /** Begins a round with the own load as it is now. */
    public void beginRound(double ownLoad) {
        if (!mInitialized) {
            mEstimate = ownLoad;
        } else {
            mEstimate += ownLoad - mOwnLoad;
            mEstimate += mLeak * (ownLoad - mEstimate);
        }
        mOwnLoad = ownLoad;
    }

    /** Returns what to tell a peer; {@link #UNKNOWN} before a peer was heard. */
    public double estimateToSend() {
        return mInitialized ? mEstimate : UNKNOWN;
    }

    /** Takes a peer's answer to what was told to it. */
    public void onReply(double sent, double reply) {
        addSample(reply);
        boolean sentWasKnown = !Double.isNaN(sent);
        if (sentWasKnown && !Double.isNaN(reply)) {
            mEstimate += (reply - sent) / 2;
        } else if (!sentWasKnown && !Double.isNaN(reply)) {
            mEstimate = reply;
        }
        mInitialized = true;
    }

    /** Takes what a peer told and returns the answer. */
    public double respond(double received) {
        double reply = estimateToSend();
        addSample(received);
        if (mInitialized && !Double.isNaN(received)) {
            mEstimate = (mEstimate + received) / 2;
        } else if (!mInitialized && !Double.isNaN(received)) {
            mEstimate = received;
        }
        mInitialized = true;
        return reply;
    }

    /**
     * Returns the estimated mean in tokens; 0 before a peer was heard. It is the average of what
     * peers told last: the own estimate follows the own load too closely, and would let a loaded
     * agent believe that all are loaded.
     */
    public double poolMean() {
        int count = Math.min(mPeerEstimateCount, mPeerEstimates.length);
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += mPeerEstimates[i];
        }
        return count == 0 ? 0 : Math.max(0, sum / count);
    }

    private void addSample(double estimate) {
        if (!Double.isNaN(estimate)) {
            mPeerEstimates[mPeerEstimateCount++ % mPeerEstimates.length] = estimate;
        }
    }
}
