package org.fescueport.internal.decision.transfer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Replicas;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TransferTest {
    private final TransferCosts mCosts = TransferCosts.withInitialCosts(50, 0.02, 0.1);

    @ParameterizedTest(name = "{0} cached tokens, holder waits {1} ms, {2} ms left: {3}")
    @CsvSource({
        "20000, 10000, 60000, IMPORT",
        "100,   10000, 60000, REBUILD",
        "20000, 300,   60000, WAIT",
        "20000, 1500,  1200,  IMPORT",
        "0,     100,   60000, REBUILD",
        "20000, -1,    60000, IMPORT",
        "20000, 2000,  10,    IMPORT"
    })
    void shouldChooseTheCheapestPlanThatMeetsTheDeadline(
            long tokens, long holderWait, long deadline, TransferPlan.Kind kind) {
        var request = new TransferCosts.Request(tokens, holderWait, 0, 500, deadline);
        assertThat(mCosts.plan(request).kind(), is(kind));
    }

    @Test
    void shouldLearnTheCostOfImports() {
        var random = new Random(4);
        for (int i = 0; i < 2_000; i++) {
            long tokens = 500 + random.nextInt(20_000);
            mCosts.onImport(tokens, 50 + tokens / 10);
            mCosts.onRebuild(tokens, tokens / 2);
        }
        assertThat(mCosts.importMillis(10_000), closeTo(1_050, 30));
        assertThat(mCosts.rebuildMillis(10_000), closeTo(5_000, 30));
    }

    @Test
    void shouldHandOverTheHottestChatFirstToTheNextRank() {
        var chats = RecentChats.<String>create(3);
        var set = Replicas.set(6);
        var self = NodeId.of("r2");
        long minute = 60_000_000_000L;
        chats.onUsed(chat(0), "dropped", 90_000, 0);
        chats.onUsed(chat(1), "old", 1_000, 0);
        chats.onUsed(chat(2), "short", 100, 10 * minute);
        chats.onUsed(chat(3), "hot", 1_000, 10 * minute);
        var handovers = chats.hottestFirst(set, self, 10 * minute);
        var names = handovers.stream().map(handover -> handover.chat().payload()).toList();
        assertThat(names, is(java.util.List.of("hot", "old", "short")));
        for (var handover : handovers) {
            assertThat(handover.target().node().equals(self), is(false));
        }
    }

    private static Affinity chat(int number) {
        return Affinity.ofChat(TeamId.of("t"), ChatId.of("c" + number));
    }
}
