package org.fescueport.internal.agent;

import java.util.Comparator;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.log.config.SnapshotDuty;

/** Lets this agent stand for the writing of snapshots while it is among the first of the list. */
final class SnapshotCandidate {
    private static final int CANDIDATES = 3;
    private static final int MOST_AGENTS = 4096;

    private final NodeId mSelf;
    private final Membership mMembership;
    private final SnapshotDuty mDuty;

    private SnapshotCandidate(NodeId self, Membership membership, SnapshotDuty duty) {
        mSelf = self;
        mMembership = membership;
        mDuty = duty;
    }

    static SnapshotCandidate of(NodeId self, Membership membership, SnapshotDuty duty) {
        return new SnapshotCandidate(self, membership, duty);
    }

    /** Looks at the list again. */
    void look() {
        boolean isCandidate =
                mMembership.all(MOST_AGENTS).stream()
                        .map(Replica::node)
                        .sorted(Comparator.comparing(NodeId::name))
                        .limit(CANDIDATES)
                        .anyMatch(mSelf::equals);
        mDuty.setCandidate(isCandidate);
    }
}
