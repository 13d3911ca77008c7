package org.fescueport.internal.decision.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.fescueport.internal.decision.AttemptId;

/** The offers of a pool that were sent and have not ended. */
final class InFlightOffers {
    /**
     * Multiple of its objective after which a request without a response does not count as awaiting
     * one: its replica is silent, and others can still be sent to.
     */
    private static final int MAX_AWAITED_OBJECTIVES = 4;

    /** One sent offer. */
    static final class Sent {
        private final PoolOffer mOffer;
        private final long mSentAtNanos;
        private final long mSequence;

        private Sent(PoolOffer offer, long sentAtNanos, long sequence) {
            mOffer = offer;
            mSentAtNanos = sentAtNanos;
            mSequence = sequence;
        }

        PoolOffer offer() {
            return mOffer;
        }

        long sentAtNanos() {
            return mSentAtNanos;
        }

        private long awaitedUntilNanos() {
            return mSentAtNanos + MAX_AWAITED_OBJECTIVES * mOffer.objectiveNanos();
        }
    }

    private static final Comparator<Sent> BY_END_OF_WAIT =
            Comparator.comparingLong(Sent::awaitedUntilNanos)
                    .thenComparingLong(sent -> sent.mSequence);

    private final Map<AttemptId, Sent> mSent = new HashMap<>();
    private final TreeSet<Sent> mAwaiting = new TreeSet<>(BY_END_OF_WAIT);
    private long mSequence;

    void add(PoolOffer offer, long nowNanos) {
        var sent = new Sent(offer, nowNanos, mSequence++);
        mSent.put(offer.id(), sent);
        mAwaiting.add(sent);
    }

    /** Returns the offer, whose response has begun; empty if it is not in flight. */
    Optional<Sent> onFirstByte(AttemptId id) {
        var sent = Optional.ofNullable(mSent.get(id));
        sent.ifPresent(mAwaiting::remove);
        return sent;
    }

    /** Removes and returns an offer that has ended; empty if it is not in flight. */
    Optional<Sent> remove(AttemptId id) {
        var sent = Optional.ofNullable(mSent.remove(id));
        sent.ifPresent(mAwaiting::remove);
        return sent;
    }

    boolean contains(AttemptId id) {
        return mSent.containsKey(id);
    }

    int size() {
        return mSent.size();
    }

    SentLoad load(long nowNanos) {
        while (!mAwaiting.isEmpty() && mAwaiting.first().awaitedUntilNanos() - nowNanos < 0) {
            mAwaiting.pollFirst();
        }
        return new SentLoad(mSent.size(), mAwaiting.size());
    }
}
