package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.direct.config.FleetConfiguration;

/**
 * Decodes a replica from its state, heartbeat number and incarnation; everything else as {@link
 * PlainDecoder} does.
 */
final class HeartbeatDecoder implements StateDecoder {
    private static final int SLOTS = 8;

    private final PlainDecoder mPlain = new PlainDecoder();

    @Override
    public boolean isConfiguration(String key) {
        return mPlain.isConfiguration(key);
    }

    @Override
    public Optional<FailureDomain> drainedDomain(String key) {
        return mPlain.drainedDomain(key);
    }

    @Override
    public FleetConfiguration configuration(byte[] value) throws UnusableRecordException {
        return mPlain.configuration(value);
    }

    @Override
    public NodeRecord node(byte[] value) {
        String[] parts = fields(value);
        var address = InetSocketAddress.createUnresolved(parts[0], 80);
        if (parts.length == 1) {
            return NodeRecord.first(address, FailureDomain.of("north"));
        }
        long era = Long.parseLong(parts[1]);
        return NodeRecord.again(
                address,
                FailureDomain.of("north"),
                StorePosition.of(era, Long.parseLong(parts[2])));
    }

    static byte[] nodeRecord(NodeRecord node) {
        String rank = node.rank().map(r -> " " + r.era() + " " + r.offset()).orElse("");
        return (node.address().getHostString() + rank).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public ReplicaEntry replica(String key, byte[] value) {
        String[] parts = fields(value);
        return new ReplicaEntry(
                NodeId.of(key),
                PlainDecoder.POOL,
                new InetSocketAddress(80),
                FailureDomain.of("north"),
                SLOTS,
                parts[0].equals("leaving"),
                Long.parseLong(parts[2]),
                Long.parseLong(parts[1]),
                WarmUpTime.warm());
    }

    private static String[] fields(byte[] value) {
        return new String(value, StandardCharsets.UTF_8).split(" ");
    }
}
