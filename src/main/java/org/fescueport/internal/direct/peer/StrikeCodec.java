package org.fescueport.internal.direct.peer;

import java.time.Duration;
import java.util.regex.Pattern;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.place.PartStrike;
import org.fescueport.internal.direct.place.PartStrike.Evidence;
import org.fescueport.internal.wire.generated.PeerStrike;

/** Writes for peers what a replica has died of, and reads it. */
public final class StrikeCodec {
    /** In place of a team; a team's name has no line break. */
    private static final String PART_MARK = "\npart";

    /**
     * Starts the mark of a crash inside an answer; its age in milliseconds follows. A build that
     * does not know a mark takes the strike for one against a request that nobody sends.
     */
    private static final String IN_ANSWER_MARK = PART_MARK + ":";

    /** Starts the same for the part of a session. */
    private static final String OF_SESSION_MARK = "\nsession:";

    private static final Pattern AGED =
            Pattern.compile("(%s|%s)([0-9]{1,12})".formatted(IN_ANSWER_MARK, OF_SESSION_MARK));

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
                .setTeam(mark(strike))
                .setRequestHigh(strike.part().high())
                .setRequestLow(strike.part().low())
                .setReplica(strike.replica().node().name())
                .setReplicaLife(strike.replica().number())
                .setAnswered(strike.cleared())
                .build();
    }

    private static String mark(PartStrike strike) {
        return switch (strike.evidence()) {
            case Evidence.InAnswer(Duration age) -> IN_ANSWER_MARK + millis(age);
            case Evidence.OfSession(Duration age) -> OF_SESSION_MARK + millis(age);
            case Evidence.Unanswered unanswered -> PART_MARK;
            case Evidence.Cleared cleared -> PART_MARK;
        };
    }

    private static long millis(Duration age) {
        return Math.max(0, age.toMillis());
    }

    /** Returns whether a strike is against a prompt part rather than a whole request. */
    public static boolean isAgainstPart(PeerStrike strike) {
        return strike.getTeam().equals(PART_MARK) || AGED.matcher(strike.getTeam()).matches();
    }

    /** Reads a strike against a prompt part. */
    public static PartStrike partStrike(PeerStrike strike) {
        var part = ContentHash.of(strike.getRequestHigh(), strike.getRequestLow());
        return new PartStrike(part, replica(strike), evidence(strike));
    }

    private static Evidence evidence(PeerStrike strike) {
        if (strike.getAnswered()) {
            return new Evidence.Cleared();
        }
        var aged = AGED.matcher(strike.getTeam());
        if (!aged.matches()) {
            return new Evidence.Unanswered();
        }
        Duration age = Duration.ofMillis(Long.parseLong(aged.group(2)));
        return aged.group(1).equals(OF_SESSION_MARK)
                ? new Evidence.OfSession(age)
                : new Evidence.InAnswer(age);
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
