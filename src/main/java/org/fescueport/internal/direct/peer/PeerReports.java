package org.fescueport.internal.direct.peer;

import io.micrometer.core.instrument.Clock;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.wire.generated.PeerHolder;
import org.fescueport.internal.wire.generated.PeerHolders;
import org.fescueport.internal.wire.generated.PeerLosses;
import org.fescueport.internal.wire.generated.PeerMessage;
import org.fescueport.internal.wire.generated.PeerStrike;

/**
 * What the nodes tell one another about replicas: which requests were lost with a replica, which
 * replicas lose answers, and which have prompt prefixes cached. A report reaches all nodes along
 * the connections between them. Used by the event loop alone.
 */
public final class PeerReports {
    /** Receives the reports of other nodes. */
    public interface Listener {
        /**
         * A request was lost with a replica at another node.
         *
         * @return whether further nodes may not know this
         */
        boolean onStrike(PeerStrike strike);

        /** Returns the strikes that a node which this one has just met may lack. */
        List<PeerStrike> knownStrikes();

        /**
         * A replica has a prompt prefix cached.
         *
         * @return whether this was not known here
         */
        boolean onHolder(long prefix, NodeId replica);

        /** Other nodes have lost this many answers of a replica. */
        void onLosses(AgentIncarnation replica, int answers);
    }

    private final Set<PeerConnection> mPeers;
    private final RecentStrikes mRecentStrikes;
    private final LossRelay mLosses;
    private final HolderRelay mHolders = new HolderRelay();
    private Listener mListener;

    /**
     * @param peers the open connections, which change
     */
    PeerReports(Set<PeerConnection> peers, Clock clock) {
        mPeers = peers;
        mRecentStrikes = new RecentStrikes(clock);
        mLosses = new LossRelay(clock);
    }

    void listen(Listener listener) {
        mListener = listener;
    }

    /** Tells all nodes that a request was lost with a replica. */
    public void onStrike(PeerStrike strike) {
        mRecentStrikes.add(strike);
        sendToAll(PeerMessage.newBuilder().setStrike(strike).build(), peer -> true);
    }

    /** Tells the other nodes that this one has lost an answer of a replica. */
    public void onLoss(AgentIncarnation replica) {
        mLosses.add(replica, 1, Optional.empty());
    }

    /** Tells the other nodes that a replica has a prompt prefix cached. */
    public void onHolder(long prefix, NodeId replica) {
        mHolders.add(
                PeerHolder.newBuilder().setPrefix(prefix).setReplica(replica.name()).build(),
                Optional.empty());
    }

    /** Sends what has been collected; must be called many times a second. */
    public void flush() {
        flushHolders();
        flushLosses();
    }

    private void flushHolders() {
        if (!mHolders.take()) {
            return;
        }
        for (var peer : mPeers) {
            mHolders.messageFor(peer)
                    .map(holders -> PeerMessage.newBuilder().setHolders(holders).build())
                    .ifPresent(peer::send);
        }
    }

    private void flushLosses() {
        if (mLosses.isEmpty()) {
            return;
        }
        for (var peer : mPeers) {
            mLosses.pendingFor(peer)
                    .map(losses -> PeerMessage.newBuilder().setLosses(losses).build())
                    .ifPresent(peer::send);
        }
        mLosses.clear();
    }

    /** Tells a node what it may have missed while there was no connection to it. */
    void onOpened(PeerConnection peer) {
        for (var strike : mListener.knownStrikes()) {
            peer.send(PeerMessage.newBuilder().setStrike(strike).build());
        }
    }

    void onStrike(PeerConnection from, PeerMessage message) {
        if (mRecentStrikes.add(message.getStrike()) && mListener.onStrike(message.getStrike())) {
            sendToAll(message, peer -> peer != from);
        }
    }

    void onHolders(PeerConnection from, PeerHolders holders) {
        for (var holder : holders.getHoldersList()) {
            if (mListener.onHolder(holder.getPrefix(), NodeId.of(holder.getReplica()))) {
                mHolders.add(holder, Optional.of(from));
            }
        }
    }

    void onLosses(PeerConnection from, PeerLosses losses) {
        for (var loss : losses.getReplicasList()) {
            var replica = AgentIncarnation.of(NodeId.of(loss.getReplica()), loss.getLife());
            int answers = mLosses.add(replica, loss.getAnswers(), Optional.of(from));
            if (answers > 0) {
                mListener.onLosses(replica, answers);
            }
        }
    }

    private void sendToAll(PeerMessage message, Predicate<PeerConnection> receives) {
        try (var frame = PeerFrame.of(message)) {
            mPeers.stream().filter(receives).forEach(peer -> peer.send(frame));
        }
    }
}
