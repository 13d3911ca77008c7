package org.fescueport.internal.direct.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.share.PoolDemand;
import org.fescueport.internal.decision.share.TeamDemand;
import org.fescueport.internal.decision.share.TeamKey;
import org.fescueport.internal.wire.generated.PeerDemand;
import org.fescueport.internal.wire.generated.PeerPoolDemand;

/** Converts the demand for pools between its types and the messages of nodes. */
final class DemandCodec {
    /** Units of a rate on the wire per request per second. */
    private static final double UNITS = 10;

    /** Larger rates, in requests per second, are an error of the sender. */
    private static final double MAX_RATE = 1e6;

    /** Larger numbers of teams are an error of the sender. */
    private static final int MAX_TEAMS = 100_000;

    private DemandCodec() {}

    static PeerDemand encode(Map<PoolId, PoolDemand> pools, boolean fleet) {
        var message = PeerDemand.newBuilder().setFleet(fleet);
        pools.forEach((pool, demand) -> message.addPools(encode(pool, demand)));
        return message.build();
    }

    /** Returns the demand; empty if any of it makes no sense. */
    static Optional<Map<PoolId, PoolDemand>> decode(PeerDemand message) {
        Map<PoolId, PoolDemand> pools = new HashMap<>();
        for (var pool : message.getPoolsList()) {
            Optional<PoolDemand> demand = decode(pool);
            if (demand.isEmpty()) {
                return Optional.empty();
            }
            pools.put(PoolId.of(pool.getPool()), demand.get());
        }
        return Optional.of(pools);
    }

    private static PeerPoolDemand encode(PoolId pool, PoolDemand demand) {
        var message = PeerPoolDemand.newBuilder().setPool(pool.name());
        for (var team : demand.largest()) {
            message.addTeams(team.team().value());
            message.addOffered(units(team.offered()));
            message.addStarted(units(team.started()));
        }
        return message.setOtherTeams(demand.otherTeams())
                .setOtherOffered(units(demand.otherOffered()))
                .setOtherStarted(units(demand.otherStarted()))
                .setShort(demand.isShort())
                .build();
    }

    private static Optional<PoolDemand> decode(PeerPoolDemand message) {
        int teams = message.getTeamsCount();
        boolean isComplete =
                message.getOfferedCount() == teams && message.getStartedCount() == teams;
        boolean isPlausible =
                teams <= PoolDemand.MAX_LARGEST
                        && isCount(message.getOtherTeams())
                        && isRate(message.getOtherOffered())
                        && isRate(message.getOtherStarted())
                        && message.getOfferedList().stream().allMatch(DemandCodec::isRate)
                        && message.getStartedList().stream().allMatch(DemandCodec::isRate);
        if (message.getPool().isEmpty() || !isComplete || !isPlausible) {
            return Optional.empty();
        }
        List<TeamDemand> largest = new ArrayList<>(teams);
        for (int i = 0; i < teams; i++) {
            largest.add(
                    new TeamDemand(
                            new TeamKey(message.getTeams(i)),
                            message.getOffered(i) / UNITS,
                            message.getStarted(i) / UNITS));
        }
        return Optional.of(
                new PoolDemand(
                        List.copyOf(largest),
                        message.getOtherTeams(),
                        message.getOtherOffered() / UNITS,
                        message.getOtherStarted() / UNITS,
                        message.getShort()));
    }

    private static int units(double rate) {
        return (int) Math.round(Math.min(MAX_RATE, rate) * UNITS);
    }

    private static boolean isRate(int units) {
        return units >= 0 && units <= MAX_RATE * UNITS;
    }

    private static boolean isCount(int teams) {
        return teams >= 0 && teams <= MAX_TEAMS;
    }
}
