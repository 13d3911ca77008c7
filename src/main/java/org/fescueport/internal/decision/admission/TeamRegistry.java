package org.fescueport.internal.decision.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueport.internal.decision.TeamId;

/** The teams that were recently active, with the share of each. */
final class TeamRegistry {
    /** Time for which an idle team still counts when shares are computed. */
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

    /**
     * Returns the state of a team and marks it as active now. A changed weight takes effect only
     * while the team is idle.
     */
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

    /** Sets the weight of a team; its queues must have been updated. */
    void setWeight(TeamState team, double weight) {
        mTotalWeight += weight - team.mWeight;
        team.mWeight = weight;
    }

    void forEach(Consumer<TeamState> action) {
        mTeams.values().forEach(action);
    }

    TeamState get(TeamId team) {
        return mTeams.get(team);
    }

    /** Returns the team's fraction of the total weight of the recently active teams. */
    double shareOf(TeamState team) {
        return team.mWeight / mTotalWeight;
    }

    /** Forgets teams that were idle for too long, in constant time per forgotten team. */
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
