package org.fescueport.internal.decision.gossip;

/**
 * An agent's estimate of the mean load of its pool, computed by gossip averaging with a few peers.
 *
 * <p>In each exchange, both agents replace their estimates by the average of the two, which keeps
 * the sum of all estimates unchanged. Each agent also adds the changes of its own load. A lost
 * message, or an agent that leaves, causes a small error in the sum. The estimate therefore also
 * moves slowly (leaks) towards the agent's own load: errors decay, while averaging keeps the
 * estimates close to the mean. This class is not thread-safe.
 *
 * <p>An agent without a first exchange adopts the estimate of its peer and contributes nothing, so
 * that agents that join without load do not lower the mean.
 *
 * <pre>{@code
 * estimate.beginRound(ownLoad);                 // once per round
 * double sent = estimate.estimateToSend();      // sent to a peer
 * double reply = peerEstimate.respond(sent);    // at the peer
 * estimate.onReply(sent, reply);                // with the peer's reply
 * }</pre>
 */
public final class MeanEstimate {
    /** Sent by an agent that has had no exchange with a peer yet. */
    public static final double UNKNOWN = Double.NaN;

    /** Bounds of the number of recent peer estimates over which the mean is computed. */
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
     * Returns an estimate that has had no exchange yet.
     *
     * @param leak fraction of the distance to the own load by which the estimate moves per round
     * @param replicas number of replicas of the pool; the mean of a small pool changes faster, so
     *     it is computed over fewer samples
     */
    public static MeanEstimate create(double leak, int replicas) {
        int samples = Math.clamp(replicas / REPLICAS_PER_SAMPLE, MIN_SAMPLES, MAX_SAMPLES);
        return new MeanEstimate(leak, samples);
    }

    /** Begins a round with the current own load, in tokens. */
    public void beginRound(double ownLoad) {
        if (!mInitialized) {
            mEstimate = ownLoad;
        } else {
            mEstimate += ownLoad - mOwnLoad;
            mEstimate += mLeak * (ownLoad - mEstimate);
        }
        mOwnLoad = ownLoad;
    }

    /** Returns the estimate to send to a peer; {@link #UNKNOWN} before the first exchange. */
    public double estimateToSend() {
        return mInitialized ? mEstimate : UNKNOWN;
    }

    /**
     * Completes an exchange that this agent has started.
     *
     * @param sent what was sent to the peer, from {@link #estimateToSend}
     * @param reply the peer's reply
     */
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

    /** Handles an exchange started by a peer: applies its estimate and returns the reply to it. */
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
     * Returns the estimated mean in tokens; 0 before the first exchange. It is the average of the
     * peers' last estimates. The own estimate follows the own load too closely: a highly loaded
     * agent would conclude that all agents are highly loaded.
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
