package org.fescueport.internal.load.experiment;

import org.fescueport.internal.decision.placement.Ranking;

/** Hands a leaving replica's chats to the replicas that rank first for them from then on. */
final class Handover {
    private Handover() {}

    /** Moves the chats and returns how many there were. */
    static int run(FakeReplica leaving, Fleet fleet) {
        var set = fleet.viewOf(0);
        int moved = 0;
        for (var entry : leaving.mCache.chats().entrySet()) {
            var ranking = Ranking.of(set, fleet.teams().affinityOf(entry.getKey()));
            var target = fleet.replica(set.replica(ranking.next()).node());
            if (target.mAlive) {
                target.mCache.put(entry.getKey(), entry.getValue());
                fleet.setHolder(entry.getKey(), target);
                moved++;
            }
        }
        return moved;
    }
}
