package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementTest {
    private static final TeamId TEAM = TeamId.of("garage");
    private static final ChatId CHAT = ChatId.of("c1");
    private static final LoadBound BOUND = LoadBound.of(1.25, 100);
    private static final long TOKENS = 200;
    private static final long NOW = 1_000_000_000L;

    private final ReplicaSet mSet = Replicas.set(12);
    private final LoadEstimator mLoads = LoadEstimator.create(100);
    private final Affinity mAffinity = Affinity.ofChat(TEAM, CHAT);

    private NodeId rank(int number) {
        var ranking = Ranking.of(mSet, mAffinity);
        int index = -1;
        for (int i = 0; i <= number; i++) {
            index = ranking.next();
        }
        return mSet.replica(index).node();
    }

    private PlacementResult choose(PlacementRequest request, String domain, ReplicaFilter filter) {
        var placement = Placement.create(FailureDomain.of(domain));
        return placement.choose(mSet, request, BOUND, mLoads, filter, NOW);
    }

    private PlacementResult.Chosen chosen(PlacementRequest request) {
        return (PlacementResult.Chosen) choose(request, "elsewhere", ReplicaFilter.ALL);
    }

    private PlacementRequest existingChat(NodeId node, long incarnation) {
        var ticket = new ChatTicket(TEAM, CHAT, Replicas.POOL, node, incarnation, 900);
        return PlacementRequest.forExistingChat(mAffinity, Optional.of(ticket), TOKENS);
    }

    private void report(NodeId node, long tokens) {
        mLoads.onReport(node, new LoadReport(tokens, 1_000, 500), 0, NOW);
    }

    @Test
    void shouldFollowTheTicket() {
        var chosen = chosen(existingChat(rank(5), 7));
        assertThat(chosen.replica().node(), is(rank(5)));
        assertThat(chosen.reason(), is(PlacementResult.Reason.TICKET));
    }

    @Test
    void shouldFallBackToFirstRankWhenTheIncarnationIsGone() {
        var chosen = chosen(existingChat(rank(5), 6));
        assertThat(chosen.replica().node(), is(rank(0)));
        assertThat(chosen.cacheHolder(), is(Optional.empty()));
    }

    @Test
    void shouldSpillToTheSecondRankAndNameTheCacheHolder() {
        report(rank(0), 1_200);
        for (String domain : new String[] {"fd0", "fd1", "fd2"}) {
            var choice = choose(existingChat(rank(0), 7), domain, ReplicaFilter.ALL);
            var chosen = (PlacementResult.Chosen) choice;
            assertThat(chosen.replica().node(), is(rank(1)));
            assertThat(chosen.reason(), is(PlacementResult.Reason.SPILL));
            assertThat(chosen.cacheHolder().get().node(), is(rank(0)));
        }
    }

    @ParameterizedTest
    @CsvSource({"fd0", "fd1", "fd2"})
    void shouldPreferTheOwnDomainAmongTheFirstTwoRanksForANewChat(String domain) {
        var choice =
                choose(PlacementRequest.forNewChat(mAffinity, TOKENS), domain, ReplicaFilter.ALL);
        var chosen = (PlacementResult.Chosen) choice;
        var first = mSet.replica(mSet.indexOf(rank(0)));
        var second = mSet.replica(mSet.indexOf(rank(1)));
        boolean swap =
                !first.domain().name().equals(domain) && second.domain().name().equals(domain);
        assertThat(chosen.replica(), is(swap ? second : first));
    }

    @Test
    void shouldSkipReplicasAlreadyTried() {
        var tried = rank(0);
        var choice =
                choose(
                        PlacementRequest.forExistingChat(mAffinity, Optional.empty(), TOKENS),
                        "elsewhere",
                        replica -> !replica.node().equals(tried));
        assertThat(((PlacementResult.Chosen) choice).replica().node(), is(rank(1)));
    }

    @Test
    void shouldNotTreatAPoolAsBusyWhenAllReplicasCarryTheMeanLoad() {
        for (var replica : mSet.replicas()) {
            report(replica.node(), 1_000);
        }
        var request = PlacementRequest.forExistingChat(mAffinity, Optional.empty(), 900);
        assertThat(chosen(request).replica().node(), is(rank(0)));
    }

    @Test
    void shouldChooseTheLeastBusyReplicaWhenAllAreBusy() {
        for (var replica : mSet.replicas()) {
            report(replica.node(), 1_550);
        }
        report(rank(3), 1_500);
        var chosen = chosen(existingChat(rank(0), 7));
        assertThat(chosen.reason(), is(PlacementResult.Reason.LEAST_BUSY));
        assertThat(chosen.replica().node(), is(rank(3)));
    }

    @Test
    void shouldRetryTheLeastLoadedReplicaAfterSeveralRefusals() {
        var refusals = Refusals.none();
        for (int i = 0; i < 4; i++) {
            refusals = refusals.with(rank(i), 1_300 - 10 * i, 500 - i);
        }
        var request = existingChat(rank(0), 7).withRefusals(refusals);
        var chosen = chosen(request);
        assertThat(chosen.reason(), is(PlacementResult.Reason.LEAST_REFUSED));
        assertThat(chosen.replica().node(), is(rank(3)));
        assertThat(chosen.leastRefusedTokens(), is(1_280L));
        var last = request.withRefusals(refusals.with(rank(3), 1_270, 800));
        var choice = choose(last, "elsewhere", ReplicaFilter.ALL);
        assertThat(choice, is(new PlacementResult.AllBusy(497)));
    }

    @Test
    void shouldReturnNoReplicaWhenTheFilterAllowsNone() {
        var choice = choose(existingChat(rank(0), 7), "elsewhere", replica -> false);
        assertThat(choice, instanceOf(PlacementResult.NoReplica.class));
    }

    @Test
    void shouldChooseTheLessLoadedOfTwoForARequestWithoutPrefix() {
        var affinity = Affinity.none(RequestId.of(1, 2));
        var first = mSet.replica(Ranking.of(mSet, affinity).next());
        mLoads.onReport(first.node(), new LoadReport(1_020, 1_000, 0), 0, NOW);
        var chosen = chosen(PlacementRequest.forNewChat(affinity, TOKENS));
        assertThat(chosen.reason(), is(PlacementResult.Reason.LESS_LOADED));
    }
}
