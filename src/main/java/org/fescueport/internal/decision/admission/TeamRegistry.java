package org.fescueport.internal.decision.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueport.internal.decision.TeamId;

/** The teams that were active at a replica lately, and the share of each. */
final class TeamRegistry {
    /** Time for which an idle team still counts when shares are worked out. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 16;

    private final Map<TeamId, TeamState> mTeams =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private final Consumer<TeamId> mOnForgotten;
    private double mTotalWeight;

    TeamRegistry(Consumer<TeamId> onForgotten) {
        mOnForgotten = onForgotten;
    }

    /** Returns the team, noted as active now. */
    TeamState touch(TeamId team, double weight, long nowNanos) {
        var state = mTeams.get(team);
        if (state == null) {
            state = new TeamState(team, weight);
            mTeams.put(team, state);
            mTotalWeight += weight;
        }
        if (state.isIdle()) {
            mTotalWeight += weight - state.mWeight;
            state.mWeight = weight;
        }
        state.mLastActiveNanos = nowNanos;
        return state;
    }

    TeamState get(TeamId team) {
        return mTeams.get(team);
    }

    /** Returns the team's part of all weights of teams that were active lately. */
    double shareOf(TeamState team) {
        return team.mWeight / mTotalWeight;
    }

    /** Forgets teams that were idle for long; constant time for each that is forgotten. */
    void prune(long nowNanos) {
        var teams = mTeams.values().iterator();
        while (teams.hasNext()) {
            var oldest = teams.next();
            if (nowNanos - oldest.mLastActiveNanos < IDLE_NANOS || !oldest.isIdle()) {
                return;
            }
            teams.remove();
            mTotalWeight -= oldest.mWeight;
            mOnForgotten.accept(oldest.mTeam);
        }
    }
}
