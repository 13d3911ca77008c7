package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.TeamId;

/** The state of one recently active team. */
final class TeamState {
    final TeamId mTeam;
    double mWeight;
    int mRunning;
    int mQueued;
    long mLastActiveNanos;

    TeamState(TeamId team, double weight) {
        mTeam = team;
        mWeight = weight;
    }

    boolean isIdle() {
        return mRunning == 0 && mQueued == 0;
    }
}
