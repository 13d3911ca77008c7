package org.fescueport.internal.log.config;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;

/** The nodes that may be asked for records while the log is down. */
public interface ConfigPeers {
    /** A node that may be asked. */
    record Peer(NodeId node, FailureDomain domain) {}

    /** Returns the peers known now, this node not among them. */
    List<Peer> peers();

    /**
     * Asks a peer for {@link ConfigFollower#recordsFrom} this offset.
     *
     * @return the peer's bytes as they are
     */
    CompletableFuture<byte[]> recordsFrom(Peer peer, long offset);

    /**
     * Gives a peer records that it lacks, for {@link ConfigFollower#offerFromPeer}. Some nodes ask
     * and are never asked, so that what only they have read would not spread otherwise.
     */
    void offer(Peer peer, byte[] records);

    /** Returns no peers. */
    static ConfigPeers none() {
        return new ConfigPeers() {
            @Override
            public List<Peer> peers() {
                return List.of();
            }

            @Override
            public CompletableFuture<byte[]> recordsFrom(Peer peer, long offset) {
                return CompletableFuture.failedFuture(
                        new IllegalStateException("there is no peer to ask"));
            }

            @Override
            public void offer(Peer peer, byte[] records) {
                // There is nobody to take them.
            }
        };
    }
}
