package org.fescueport.internal.direct.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.fescueport.internal.wire.generated.PeerHolder;
import org.fescueport.internal.wire.generated.PeerHolders;

/**
 * Passes on which replicas have prompt prefixes cached. What does not fit into the bytes that nodes
 * may spend on it is dropped: the prefix is then computed once more.
 */
final class HolderRelay {
    /** Number of entries in one message; with 20 messages a second about 2 kB a second. */
    private static final int MAX_PER_MESSAGE = 4;

    /** Number of entries that wait for the next messages. */
    private static final int MAX_PENDING = 64;

    /**
     * An entry to pass on.
     *
     * @param source peer that reported it; empty for this node
     */
    private record Pending(PeerHolder holder, Optional<PeerConnection> source) {}

    private final Deque<Pending> mPending = new ArrayDeque<>();
    private final Deque<Pending> mNext = new ArrayDeque<>();

    /** Adds an entry that this node did not know; the oldest one is dropped if there are many. */
    void add(PeerHolder holder, Optional<PeerConnection> source) {
        if (mPending.size() >= MAX_PENDING) {
            mPending.removeFirst();
        }
        mPending.addLast(new Pending(holder, source));
    }

    /** Takes the entries of the next message; returns whether there are any. */
    boolean take() {
        mNext.clear();
        while (mNext.size() < MAX_PER_MESSAGE && !mPending.isEmpty()) {
            mNext.addLast(mPending.removeFirst());
        }
        return !mNext.isEmpty();
    }

    /** Returns the taken entries that a peer has not reported itself, if there are any. */
    Optional<PeerHolders> messageFor(PeerConnection peer) {
        var holders = PeerHolders.newBuilder();
        mNext.stream()
                .filter(pending -> pending.source().filter(s -> s == peer).isEmpty())
                .forEach(pending -> holders.addHolders(pending.holder()));
        return holders.getHoldersCount() == 0 ? Optional.empty() : Optional.of(holders.build());
    }
}
