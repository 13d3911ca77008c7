package org.fescueport.internal.log.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.UUID;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.lease.LeaseHolder;
import org.fescueport.internal.decision.lease.LeaseRecord;
import org.fescueport.internal.decision.lease.LeaseState;
import org.fescueport.internal.wire.generated.ConfigOpening;
import org.fescueport.internal.wire.generated.HeldLease;
import org.fescueport.internal.wire.generated.LeaseClaim;
import org.fescueport.internal.wire.generated.LeaseSnapshot;

/** Records of the leases' stream as bytes. What can't be read decodes to nothing. */
public final class LeaseCodec {
    private static final int FORMAT = 1;

    private LeaseCodec() {}

    /** Returns the record's bytes. */
    public static byte[] encode(LeaseRecord record) {
        var coded =
                org.fescueport.internal.wire.generated.LeaseRecord.newBuilder().setFormat(FORMAT);
        switch (record) {
            case LeaseRecord.Claim claim -> coded.setClaim(encode(claim));
            case LeaseRecord.Snapshot snapshot -> coded.setSnapshot(encode(snapshot));
            case LeaseRecord.NoOp nothing -> coded.setOpening(ConfigOpening.getDefaultInstance());
        }
        return coded.build().toByteArray();
    }

    /** Returns the record, alike on every node. */
    public static LeaseRecord decode(byte[] data) {
        try {
            var coded = org.fescueport.internal.wire.generated.LeaseRecord.parseFrom(data);
            return switch (coded.getBodyCase()) {
                case CLAIM -> decode(coded.getClaim());
                case SNAPSHOT -> decode(coded.getSnapshot());
                case OPENING, BODY_NOT_SET -> new LeaseRecord.NoOp();
            };
        } catch (InvalidProtocolBufferException e) {
            return new LeaseRecord.NoOp();
        }
    }

    private static LeaseClaim encode(LeaseRecord.Claim claim) {
        return LeaseClaim.newBuilder()
                .setLease(claim.lease())
                .setHolder(claim.holder().node().name())
                .setIncarnation(claim.holder().incarnation())
                .setBase(claim.base())
                .setDurationMs(claim.durationMillis())
                .setNonceHigh(claim.nonce().getMostSignificantBits())
                .setNonceLow(claim.nonce().getLeastSignificantBits())
                .build();
    }

    private static LeaseRecord decode(LeaseClaim coded) {
        return new LeaseRecord.Claim(
                coded.getLease(),
                holder(coded.getHolder(), coded.getIncarnation()),
                coded.getBase(),
                coded.getDurationMs(),
                new UUID(coded.getNonceHigh(), coded.getNonceLow()));
    }

    private static LeaseSnapshot encode(LeaseRecord.Snapshot snapshot) {
        var coded = LeaseSnapshot.newBuilder().setPosition(snapshot.position());
        snapshot.leases()
                .forEach(
                        (name, state) ->
                                coded.addLeases(
                                        HeldLease.newBuilder()
                                                .setLease(name)
                                                .setHolder(state.holder().node().name())
                                                .setIncarnation(state.holder().incarnation())
                                                .setToken(state.token())
                                                .setLast(state.last())
                                                .setAppendedAtMs(state.appendedAtMillis())
                                                .setDurationMs(state.durationMillis())));
        return coded.build();
    }

    private static LeaseRecord decode(LeaseSnapshot coded) {
        var leases = new HashMap<String, LeaseState>();
        for (var lease : coded.getLeasesList()) {
            leases.put(
                    lease.getLease(),
                    new LeaseState(
                            holder(lease.getHolder(), lease.getIncarnation()),
                            lease.getToken(),
                            lease.getLast(),
                            lease.getAppendedAtMs(),
                            lease.getDurationMs()));
        }
        return new LeaseRecord.Snapshot(coded.getPosition(), leases);
    }

    private static LeaseHolder holder(String node, long incarnation) {
        return LeaseHolder.of(NodeId.of(node), incarnation);
    }
}
