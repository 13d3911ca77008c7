package org.fescueport.internal.fleet;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.log.config.ConfigFollower;
import org.fescueport.internal.log.config.ConfigPeers;
import org.fescueport.internal.wire.PeerCalls;

/** The agents that a node asks for configuration while the log is down. */
public final class ConfigSources implements ConfigPeers {
    private static final int MOST_PEERS = 64;

    private final Membership mMembership;
    private final NodeId mSelf;
    private volatile AgentConnections mConnections;

    private ConfigSources(Membership membership, NodeId self) {
        mSelf = self;
        mMembership = membership;
    }

    public static ConfigSources create(Membership membership, NodeId self) {
        return new ConfigSources(membership, self);
    }

    public void use(AgentConnections connections) {
        mConnections = connections;
    }

    public void onVersion(AgentLink link, long version, ConfigFollower config) {
        mMembership
                .find(link.node())
                .ifPresent(
                        replica -> config.onPeerVersion(replica.node(), replica.domain(), version));
    }

    @Override
    public List<Peer> peers() {
        var peers = new ArrayList<Peer>();
        for (var replica : mMembership.all(MOST_PEERS)) {
            if (replica.node().equals(mSelf)) {
                continue;
            }
            peers.add(new Peer(replica.node(), replica.domain()));
        }
        return peers;
    }

    @Override
    public CompletableFuture<byte[]> recordsFrom(Peer peer, long offset) {
        var replica = mMembership.find(peer.node());
        if (replica.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException(peer.node() + " is not in the list of VMs"));
        }
        return ask(replica.get(), offset);
    }

    @Override
    public void offer(Peer peer, byte[] records) {
        mMembership
                .find(peer.node())
                .ifPresent(
                        replica ->
                                mConnections
                                        .to(replica)
                                        .thenAccept(
                                                link ->
                                                        link.call(
                                                                PeerCalls.CONFIG_OFFER,
                                                                ByteString.copyFrom(records))));
    }

    private CompletableFuture<byte[]> ask(Replica replica, long offset) {
        var payload = ByteBuffer.allocate(Long.BYTES).putLong(offset).flip();
        return mConnections
                .to(replica)
                .thenCompose(
                        link -> link.call(PeerCalls.CONFIG_RECORDS, ByteString.copyFrom(payload)))
                .thenApply(reply -> reply.getPayload().toByteArray());
    }
}
