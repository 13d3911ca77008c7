package org.fescueport.internal.decision.gossip;

import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Ranking;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaSet;

/**
 * The few peers with which an agent exchanges estimates, in turn.
 *
 * <p>The peers are the first ranks of the rendezvous hash for the agent's name. A change of the set
 * therefore replaces few of them, so most connections are kept. The pool as a whole forms a random
 * graph, in which averaging converges quickly.
 */
public final class GossipPeers {
    private static final TeamId HASH_NAMESPACE = TeamId.of("gossip");

    private final List<Replica> mPeers;
    private int mNext;

    private GossipPeers(List<Replica> peers) {
        mPeers = List.copyOf(peers);
    }

    /** Returns at most {@code count} peers of {@code self} from the set. */
    public static GossipPeers of(ReplicaSet set, NodeId self, int count) {
        var ranking = Ranking.of(set, Affinity.ofChat(HASH_NAMESPACE, ChatId.of(self.name())));
        var peers = new ArrayList<Replica>();
        for (int index = ranking.next(); index >= 0; index = ranking.next()) {
            if (!set.replica(index).node().equals(self)) {
                peers.add(set.replica(index));
            }
            if (peers.size() == count) {
                break;
            }
        }
        return new GossipPeers(peers);
    }

    public List<Replica> all() {
        return mPeers;
    }

    /** Returns the peer for the next round, or null if there is no peer. */
    public Replica next() {
        if (mPeers.isEmpty()) {
            return null;
        }
        mNext = (mNext + 1) % mPeers.size();
        return mPeers.get(mNext);
    }
}
