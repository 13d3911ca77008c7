package org.fescueport.internal.log.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.fescueport.internal.decision.claim.ClaimNonce;
import org.fescueport.internal.decision.claim.ClaimPartitions;
import org.fescueport.internal.decision.claim.ClaimRecord;

/**
 * Records of ended claims that are sent until they stand in the log.
 *
 * <p>When one is lost with its agent, its key stays claimed: the outcome is then unknown, and the
 * key is never run again.
 */
final class ClaimNotes {
    private static final int MAX_NOTES = 10_000;
    private static final int MAX_SENT_AT_ONCE = 200;

    private final ClaimPartitions mPartitions;
    private final IntFunction<List<ClaimPort>> mDeciders;
    private final Map<ClaimNonce, ClaimRecord> mNotes = new LinkedHashMap<>();
    private int mSent;
    private int mRound;

    private ClaimNotes(ClaimPartitions partitions, IntFunction<List<ClaimPort>> deciders) {
        mPartitions = partitions;
        mDeciders = deciders;
    }

    static ClaimNotes create(ClaimPartitions partitions, IntFunction<List<ClaimPort>> deciders) {
        return new ClaimNotes(partitions, deciders);
    }

    /** Returns whether new claims are to be refused, so that all ended ones can be noted. */
    synchronized boolean isFull() {
        return mNotes.size() >= MAX_NOTES;
    }

    synchronized void add(ClaimRecord note) {
        mNotes.put(note.nonce(), note);
    }

    /** Sends what is open, unless the last sending has not ended. */
    void flush() {
        List<ClaimRecord> batch;
        int round;
        synchronized (this) {
            if (mSent > 0) {
                return;
            }
            batch = new ArrayList<>(mNotes.values().stream().limit(MAX_SENT_AT_ONCE).toList());
            mSent = batch.size();
            round = mRound++;
        }
        batch.forEach(note -> send(note, round));
    }

    private void send(ClaimRecord note, int round) {
        List<ClaimPort> deciders = mDeciders.apply(mPartitions.of(note.key()));
        ClaimPort decider = deciders.get(Math.floorMod(round, deciders.size()));
        decider.note(note).whenComplete((noted, error) -> sent(note, error == null && noted));
    }

    private synchronized void sent(ClaimRecord note, boolean noted) {
        mSent--;
        if (noted) {
            mNotes.remove(note.nonce(), note);
        }
    }
}
