package org.fescueport.internal.decision.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.TeamId;

/**
 * The queued offers of one priority class. Teams are served by weighted fair queueing, with start
 * tags in virtual time, and the offers of one team by earliest deadline first.
 */
final class FairQueue {
    /**
     * Entries of a team whose tokens are summed one by one to predict a wait; with more entries
     * ahead, the whole backlog of the team counts.
     */
    private static final int MAX_ENTRIES_SUMMED = 64;

    /** The queued offers of one team. */
    private static final class Backlog {
        final TeamState mTeam;
        final long mId;
        final TreeSet<QueueEntry> mEntries = new TreeSet<>(QueueEntry.BY_DEADLINE);
        double mStartTag;
        double mWeight;
        long mTokens;

        Backlog(TeamState team, long id, double startTag) {
            mTeam = team;
            mId = id;
            mStartTag = startTag;
            mWeight = team.mWeight;
        }

        double weightedTokens() {
            return mTokens / mWeight;
        }
    }

    private static final Comparator<Backlog> BY_START_TAG =
            Comparator.<Backlog>comparingDouble(backlog -> backlog.mStartTag)
                    .thenComparingLong(backlog -> backlog.mId);

    private static final Comparator<Backlog> BY_WEIGHTED_TOKENS =
            Comparator.comparingDouble(Backlog::weightedTokens)
                    .thenComparingLong(backlog -> backlog.mId);

    private final Map<TeamId, Backlog> mBacklogs = new HashMap<>();
    private final Map<TeamId, Double> mFinishTags = new HashMap<>();
    private final TreeSet<Backlog> mByStartTag = new TreeSet<>(BY_START_TAG);
    private final TreeSet<Backlog> mByWeightedTokens = new TreeSet<>(BY_WEIGHTED_TOKENS);
    private double mVirtualTime;
    private long mNextId;
    private long mTokens;
    private double mTotalWeight;

    long tokens() {
        return mTokens;
    }

    boolean isEmpty() {
        return mBacklogs.isEmpty();
    }

    void add(TeamState team, QueueEntry waiting) {
        var backlog = mBacklogs.get(team.mTeam);
        if (backlog == null) {
            double tag = Math.max(mVirtualTime, mFinishTags.getOrDefault(team.mTeam, 0.0));
            backlog = new Backlog(team, mNextId++, tag);
            mBacklogs.put(team.mTeam, backlog);
            mByStartTag.add(backlog);
            mTotalWeight += team.mWeight;
        } else {
            mByWeightedTokens.remove(backlog);
        }
        backlog.mEntries.add(waiting);
        backlog.mTokens += waiting.loadTokens();
        mTokens += waiting.loadTokens();
        mByWeightedTokens.add(backlog);
    }

    /**
     * Removes and returns the next entry in fair order among the teams that may start one; null if
     * none may.
     */
    QueueEntry take(Predicate<TeamState> mayStart) {
        for (var backlog : mByStartTag) {
            if (mayStart.test(backlog.mTeam)) {
                return start(backlog);
            }
        }
        return null;
    }

    /**
     * Removes an entry without charging its team for it; returns false if the entry is not queued.
     */
    boolean remove(QueueEntry waiting) {
        var backlog = mBacklogs.get(waiting.offer().team());
        if (backlog == null || !backlog.mEntries.contains(waiting)) {
            return false;
        }
        removeEntry(backlog, waiting);
        return true;
    }

    /** Charges a team for an offer that started without being queued, as if it were served. */
    void charge(TeamState team, QueueEntry waiting) {
        double start = Math.max(mVirtualTime, mFinishTags.getOrDefault(team.mTeam, 0.0));
        mVirtualTime = start;
        mFinishTags.put(team.mTeam, start + waiting.loadTokens() / team.mWeight);
    }

    /** Prepares for a change of a team's weight, which must follow at once. */
    void onWeight(TeamState team, double weight) {
        var backlog = mBacklogs.get(team.mTeam);
        if (backlog == null) {
            return;
        }
        mByWeightedTokens.remove(backlog);
        mTotalWeight += weight - team.mWeight;
        backlog.mWeight = weight;
        mByWeightedTokens.add(backlog);
    }

    /** Forgets a team that has been idle for a long time. */
    void forget(TeamId team) {
        mFinishTags.remove(team);
    }

    /**
     * Returns the entry with the latest deadline of the team with the largest weighted backlog;
     * null if the queue is empty.
     */
    QueueEntry lastOfLargestBacklog() {
        return mByWeightedTokens.isEmpty() ? null : mByWeightedTokens.last().mEntries.last();
    }

    /** Returns the tokens per unit of weight that a team would have queued with more tokens. */
    double weightedTokens(TeamState team, long moreTokens) {
        var backlog = mBacklogs.get(team.mTeam);
        long tokens = backlog == null ? 0 : backlog.mTokens;
        return (tokens + moreTokens) / team.mWeight;
    }

    /** Returns the tokens of this class that would be served before a new entry of the team. */
    double tokensAhead(TeamState team, long deadlineNanos) {
        boolean hasBacklog = mBacklogs.containsKey(team.mTeam);
        double otherWeight = mTotalWeight - (hasBacklog ? team.mWeight : 0);
        long own = ownTokensAhead(team, deadlineNanos);
        return Math.min(mTokens, own * (1 + otherWeight / team.mWeight));
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
            if (++counted > MAX_ENTRIES_SUMMED) {
                return backlog.mTokens;
            }
            tokens += waiting.loadTokens();
        }
        return tokens;
    }

    private QueueEntry start(Backlog backlog) {
        var waiting = backlog.mEntries.first();
        double start = backlog.mStartTag;
        mVirtualTime = Math.max(mVirtualTime, start);
        double finish = start + waiting.loadTokens() / backlog.mWeight;
        Invariants.check(
                finish > start, "virtual time of team %s does not advance", backlog.mTeam.mTeam);
        mByStartTag.remove(backlog);
        backlog.mStartTag = finish;
        mByStartTag.add(backlog);
        mFinishTags.put(backlog.mTeam.mTeam, finish);
        removeEntry(backlog, waiting);
        return waiting;
    }

    private void removeEntry(Backlog backlog, QueueEntry waiting) {
        mByWeightedTokens.remove(backlog);
        backlog.mEntries.remove(waiting);
        backlog.mTokens -= waiting.loadTokens();
        mTokens -= waiting.loadTokens();
        if (backlog.mEntries.isEmpty()) {
            mBacklogs.remove(backlog.mTeam.mTeam);
            mByStartTag.remove(backlog);
            mTotalWeight = mBacklogs.isEmpty() ? 0 : mTotalWeight - backlog.mWeight;
        } else {
            mByWeightedTokens.add(backlog);
        }
    }
}
