package org.fescueport.internal.decision.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.TeamId;

/** Measures the demand of each team for a pool at this node. Not thread-safe. */
public final class DemandMeter {
    private static final double TIME_CONSTANT_SECONDS = 2;

    /** Rate, in requests per second, below which an idle team is forgotten. */
    private static final double MIN_RATE = 0.01;

    private static final class Rates {
        private final DecayingRate mOffered;
        private final DecayingRate mStarted;

        Rates(long nowNanos) {
            mOffered = new DecayingRate(TIME_CONSTANT_SECONDS, nowNanos);
            mStarted = new DecayingRate(TIME_CONSTANT_SECONDS, nowNanos);
        }
    }

    private final Map<TeamKey, Rates> mTeams = new HashMap<>();

    private DemandMeter() {}

    /** Returns a meter that has seen no requests. */
    public static DemandMeter create() {
        return new DemandMeter();
    }

    /** Records that a request has arrived. */
    public void onOffered(TeamId team, long nowNanos) {
        rates(team, nowNanos).mOffered.add(nowNanos);
    }

    /** Records that the response to a request has begun. */
    public void onStarted(TeamId team, long nowNanos) {
        rates(team, nowNanos).mStarted.add(nowNanos);
    }

    /** Returns all teams with a demand, and forgets those without one. */
    public List<TeamDemand> teams(long nowNanos) {
        mTeams.values().removeIf(rates -> rates.mOffered.perSecond(nowNanos) < MIN_RATE);
        List<TeamDemand> teams = new ArrayList<>(mTeams.size());
        mTeams.forEach(
                (team, rates) ->
                        teams.add(
                                new TeamDemand(
                                        team,
                                        rates.mOffered.perSecond(nowNanos),
                                        rates.mStarted.perSecond(nowNanos))));
        return teams;
    }

    private Rates rates(TeamId team, long nowNanos) {
        return mTeams.computeIfAbsent(TeamKey.of(team), key -> new Rates(nowNanos));
    }
}
