package org.fescueport.internal.agent;

import java.util.Comparator;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.fleet.Membership;

/** Lets this agent stand for the fleet's shared duties while it is among the first of the list. */
final class DutyCandidate {
    private static final int CANDIDATES = 3;

    /** A duty for which a node may stand. */
    @FunctionalInterface
    interface Duty {
        void setCandidate(boolean candidate);
    }

    private final NodeId mSelf;
    private final Membership mMembership;
    private final Duty mDuty;

    private DutyCandidate(NodeId self, Membership membership, Duty duty) {
        mSelf = self;
        mMembership = membership;
        mDuty = duty;
    }

    static DutyCandidate of(NodeId self, Membership membership, Duty duty) {
        return new DutyCandidate(self, membership, duty);
    }

    /** Looks at the list again. */
    void look() {
        boolean isCandidate =
                mMembership.listed().stream()
                        .map(Replica::node)
                        .sorted(Comparator.comparing(NodeId::name))
                        .limit(CANDIDATES)
                        .anyMatch(mSelf::equals);
        mDuty.setCandidate(isCandidate);
    }
}
