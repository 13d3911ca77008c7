package org.fescueport.internal.direct.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.share.PoolDemand;
import org.fescueport.internal.decision.share.TeamDemand;
import org.fescueport.internal.decision.share.TeamKey;
import org.fescueport.internal.wire.generated.PeerDemand;
import org.fescueport.internal.wire.generated.PeerPoolDemand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class DemandCodecTest {
    private static final PoolId POOL = PoolId.of("models");

    /** With 1,200 teams; a node sends it twice a second to one node and once to seven. */
    private static final int MAX_BYTES = 200;

    private static PoolDemand demand(int teams) {
        List<TeamDemand> demands = new ArrayList<>();
        for (int i = 0; i < teams; i++) {
            demands.add(new TeamDemand(new TeamKey(i * 0x9e3779b9), 10 + i, 5));
        }
        return PoolDemand.of(demands, true);
    }

    @Test
    void shouldReadWhatItHasWritten() {
        var pools = Map.of(POOL, demand(40));
        assertThat(DemandCodec.decode(DemandCodec.encode(pools, true)), is(Optional.of(pools)));
    }

    @Test
    void shouldFitIntoTheBytesOfControl() {
        var message = DemandCodec.encode(Map.of(POOL, demand(1_200)), true);
        assertThat(message.getSerializedSize(), is(lessThanOrEqualTo(MAX_BYTES)));
    }

    private static List<PeerPoolDemand> senseless() {
        var plain = PeerPoolDemand.newBuilder().setPool("models");
        var team = plain.clone().addTeams(1).addOffered(1).addStarted(1).build();
        return List.of(
                plain.clone().addTeams(1).build(),
                plain.clone().addTeams(1).addOffered(1).addStarted(1).addStarted(2).build(),
                plain.clone().setOtherTeams(-1).build(),
                plain.clone().setOtherOffered(Integer.MAX_VALUE).build(),
                plain.clone().setOtherStarted(-5).build(),
                team.toBuilder().setOffered(0, -1).build(),
                team.toBuilder().clearPool().build());
    }

    @ParameterizedTest
    @MethodSource("senseless")
    void shouldRejectWhatMakesNoSense(PeerPoolDemand pool) {
        var message = PeerDemand.newBuilder().addPools(pool).build();
        assertThat(DemandCodec.decode(message), is(Optional.empty()));
    }
}
