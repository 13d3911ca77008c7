package org.fescueport.internal.decision.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.TeamId;

/**
 * Waiting work of one priority class: weighted fair queueing over teams by start tags in virtual
 * time, and earliest deadline first inside a team.
 */
final class FairQueue {
    /** Entries of a team that are added up one by one when a wait is predicted. */
    private static final int MAX_COUNTED_AHEAD = 64;

    /** One team's waiting work. */
    private static final class Backlog {
        final TeamState mTeam;
        final long mId;
        final TreeSet<Waiting> mEntries = new TreeSet<>(Waiting.BY_DEADLINE);
        double mStartTag;
        long mTokens;

        Backlog(TeamState team, long id, double startTag) {
            mTeam = team;
            mId = id;
            mStartTag = startTag;
        }

        double tokensByWeight() {
            return mTokens / mTeam.mWeight;
        }
    }

    private static final Comparator<Backlog> BY_START_TAG =
            Comparator.<Backlog>comparingDouble(backlog -> backlog.mStartTag)
                    .thenComparingLong(backlog -> backlog.mId);

    private static final Comparator<Backlog> BY_TOKENS =
            Comparator.comparingDouble(Backlog::tokensByWeight)
                    .thenComparingLong(backlog -> backlog.mId);

    private final Map<TeamId, Backlog> mBacklogs = new HashMap<>();
    private final Map<TeamId, Double> mFinishTags = new HashMap<>();
    private final TreeSet<Backlog> mByStartTag = new TreeSet<>(BY_START_TAG);
    private final TreeSet<Backlog> mByTokens = new TreeSet<>(BY_TOKENS);
    private double mVirtualTime;
    private long mNextId;
    private long mTokens;
    private double mWeights;

    long tokens() {
        return mTokens;
    }

    boolean isEmpty() {
        return mBacklogs.isEmpty();
    }

    void add(TeamState team, Waiting waiting) {
        var backlog = mBacklogs.get(team.mTeam);
        if (backlog == null) {
            double tag = Math.max(mVirtualTime, mFinishTags.getOrDefault(team.mTeam, 0.0));
            backlog = new Backlog(team, mNextId++, tag);
            mBacklogs.put(team.mTeam, backlog);
            mByStartTag.add(backlog);
            mWeights += team.mWeight;
        } else {
            mByTokens.remove(backlog);
        }
        backlog.mEntries.add(waiting);
        backlog.mTokens += waiting.loadTokens();
        mTokens += waiting.loadTokens();
        mByTokens.add(backlog);
    }

    /** Takes the next entry in fair order among the teams that may start one; null if none may. */
    Waiting take(Predicate<TeamState> mayStart) {
        for (var backlog : mByStartTag) {
            if (mayStart.test(backlog.mTeam)) {
                return start(backlog);
            }
        }
        return null;
    }

    /** Takes an entry out without charging its team for it. */
    boolean remove(Waiting waiting) {
        var backlog = mBacklogs.get(waiting.offer().team());
        if (backlog == null || !backlog.mEntries.contains(waiting)) {
            return false;
        }
        takeOut(backlog, waiting);
        return true;
    }

    /** Notes work of a team that started without waiting, so that it counts as served. */
    void charge(TeamState team, Waiting waiting) {
        double start = Math.max(mVirtualTime, mFinishTags.getOrDefault(team.mTeam, 0.0));
        mVirtualTime = start;
        mFinishTags.put(team.mTeam, start + waiting.loadTokens() / team.mWeight);
    }

    /** Forgets a team that was idle for long. */
    void forget(TeamId team) {
        mFinishTags.remove(team);
    }

    /** Returns the last entry, by deadline, of the team that has the most waiting by weight. */
    Waiting lastOfLongest() {
        return mByTokens.isEmpty() ? null : mByTokens.last().mEntries.last();
    }

    /** Returns what a team would have waiting by weight with so many tokens more. */
    double tokensByWeight(TeamState team, long moreTokens) {
        var backlog = mBacklogs.get(team.mTeam);
        long tokens = backlog == null ? 0 : backlog.mTokens;
        return (tokens + moreTokens) / team.mWeight;
    }

    /** Returns the tokens of this class that are served before a new entry of this team. */
    double tokensAhead(TeamState team, long deadlineNanos) {
        boolean waits = mBacklogs.containsKey(team.mTeam);
        double otherWeights = mWeights - (waits ? team.mWeight : 0);
        long own = ownTokensAhead(team, deadlineNanos);
        return Math.min(mTokens, own * (1 + otherWeights / team.mWeight));
    }

    private long ownTokensAhead(TeamState team, long deadlineNanos) {
        var backlog = mBacklogs.get(team.mTeam);
        if (backlog == null) {
            return 0;
        }
        long tokens = 0;
        int counted = 0;
        for (var waiting : backlog.mEntries) {
            if (waiting.offer().deadlineNanos() > deadlineNanos) {
                return tokens;
            }
            if (++counted > MAX_COUNTED_AHEAD) {
                return backlog.mTokens;
            }
            tokens += waiting.loadTokens();
        }
        return tokens;
    }

    private Waiting start(Backlog backlog) {
        var waiting = backlog.mEntries.first();
        double start = backlog.mStartTag;
        mVirtualTime = Math.max(mVirtualTime, start);
        double finish = start + waiting.loadTokens() / backlog.mTeam.mWeight;
        Invariants.check(finish > start, "virtual time of %s stands still", backlog.mTeam.mTeam);
        mByStartTag.remove(backlog);
        backlog.mStartTag = finish;
        mByStartTag.add(backlog);
        mFinishTags.put(backlog.mTeam.mTeam, finish);
        takeOut(backlog, waiting);
        return waiting;
    }

    private void takeOut(Backlog backlog, Waiting waiting) {
        mByTokens.remove(backlog);
        backlog.mEntries.remove(waiting);
        backlog.mTokens -= waiting.loadTokens();
        mTokens -= waiting.loadTokens();
        if (backlog.mEntries.isEmpty()) {
            mBacklogs.remove(backlog.mTeam.mTeam);
            mByStartTag.remove(backlog);
            mWeights = mBacklogs.isEmpty() ? 0 : mWeights - backlog.mTeam.mWeight;
        } else {
            mByTokens.add(backlog);
        }
    }
}
