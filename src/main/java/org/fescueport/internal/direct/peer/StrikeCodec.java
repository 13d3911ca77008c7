package org.fescueport.internal.direct.peer;

import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.place.PartStrike;
import org.fescueport.internal.wire.generated.PeerStrike;

/** Writes for peers what a replica has died of, and reads it. */
public final class StrikeCodec {
    /** In place of a team; a team's name has no line break. */
    private static final String PART_MARK = "\npart";

    private StrikeCodec() {}

    /** Writes a strike. */
    public static PeerStrike encode(Fingerprint request, AgentIncarnation replica) {
        return PeerStrike.newBuilder()
                .setTeam(request.team().name())
                .setRequestHigh(request.content().high())
                .setRequestLow(request.content().low())
                .setReplica(replica.node().name())
                .setReplicaLife(replica.number())
                .build();
    }

    /** Returns that a request was answered. */
    public static PeerStrike encodeAnswered(Fingerprint request) {
        return PeerStrike.newBuilder()
                .setTeam(request.team().name())
                .setRequestHigh(request.content().high())
                .setRequestLow(request.content().low())
                .setAnswered(true)
                .build();
    }

    /** Writes a strike against a prompt part. */
    public static PeerStrike encode(PartStrike strike) {
        return PeerStrike.newBuilder()
                .setTeam(PART_MARK)
                .setRequestHigh(strike.part().high())
                .setRequestLow(strike.part().low())
                .setReplica(strike.replica().node().name())
                .setReplicaLife(strike.replica().number())
                .setAnswered(strike.cleared())
                .build();
    }

    /** Returns whether a strike is against a prompt part rather than a whole request. */
    public static boolean isAgainstPart(PeerStrike strike) {
        return strike.getTeam().equals(PART_MARK);
    }

    /** Reads a strike against a prompt part. */
    public static PartStrike partStrike(PeerStrike strike) {
        var part = ContentHash.of(strike.getRequestHigh(), strike.getRequestLow());
        return new PartStrike(part, replica(strike), strike.getAnswered());
    }

    /** Reads which request it was. */
    public static Fingerprint request(PeerStrike strike) {
        var content = ContentHash.of(strike.getRequestHigh(), strike.getRequestLow());
        return Fingerprint.of(TeamId.of(strike.getTeam()), content);
    }

    /** Reads which life of which replica it cost. */
    public static AgentIncarnation replica(PeerStrike strike) {
        return AgentIncarnation.of(NodeId.of(strike.getReplica()), strike.getReplicaLife());
    }
}
