package org.fescueport.internal.load.experiment.model;

import java.util.List;

/** One request to a modelled replica. */
public final class Call {
    /** A stretch of the prompt; requests that begin with the same parts share them. */
    public record Part(long id, int tokens) {}

    private final List<Part> mParts;
    private final int mOutputTokens;
    private final int mUrgency;
    private final long mArrivedNanos;
    private final long mAimNanos;
    private final long mDeadlineNanos;

    private Call(
            List<Part> parts,
            int outputTokens,
            int urgency,
            long arrivedNanos,
            long aimNanos,
            long deadlineNanos) {
        mParts = List.copyOf(parts);
        mOutputTokens = outputTokens;
        mUrgency = urgency;
        mArrivedNanos = arrivedNanos;
        mAimNanos = aimNanos;
        mDeadlineNanos = deadlineNanos;
    }

    /**
     * Returns a call that has arrived at this time.
     *
     * @param parts of the prompt in order, the last one its own
     * @param urgency 0 is first
     * @param aimNanos from arrival to the first token of an answer in time
     * @param deadlineNanos from arrival until nobody waits any more
     */
    public static Call arriving(
            long nowNanos,
            List<Part> parts,
            int outputTokens,
            int urgency,
            long aimNanos,
            long deadlineNanos) {
        return new Call(parts, outputTokens, urgency, nowNanos, aimNanos, deadlineNanos);
    }

    List<Part> parts() {
        return mParts;
    }

    int promptTokens() {
        return mParts.stream().mapToInt(Part::tokens).sum();
    }

    public int outputTokens() {
        return mOutputTokens;
    }

    public int urgency() {
        return mUrgency;
    }

    /** Returns the time from arrival to the first token of an answer in time. */
    long aimNanos() {
        return mAimNanos;
    }

    /** Returns when the first token of an answer in time is due. */
    long aimAtNanos() {
        return mArrivedNanos + mAimNanos;
    }

    /** Returns from when on nobody waits any more. */
    public long endAtNanos() {
        return mArrivedNanos + mDeadlineNanos;
    }

    /** Returns the time from its arrival until now. */
    public long waitedNanos(long nowNanos) {
        return nowNanos - mArrivedNanos;
    }

    /** Returns whether a first token now is in time. */
    public boolean isInAim(long nowNanos) {
        return waitedNanos(nowNanos) <= mAimNanos;
    }

    /** Returns whether nobody waits for an answer any more. */
    public boolean isOver(long nowNanos) {
        return waitedNanos(nowNanos) >= mDeadlineNanos;
    }
}
