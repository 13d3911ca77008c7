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
    private static final int MAX_ENTRIES_SUMMED = 64;

    /** One team's waiting work. */
    private static final class Backlog {
        final TeamState mTeam;
        final long mId;
        final TreeSet<QueueEntry> mEntries = new TreeSet<>(QueueEntry.BY_DEADLINE);
        double mStartTag;
        long mTokens;

        Backlog(TeamState team, long id, double startTag) {
            mTeam = team;
            mId = id;
            mStartTag = startTag;
        }

        double weightedTokens() {
            return mTokens / mTeam.mWeight;
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

    void add(TeamState team, QueueEntry entry) {
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
        backlog.mEntries.add(entry);
        backlog.mTokens += entry.loadTokens();
        mTokens += entry.loadTokens();
        mByWeightedTokens.add(backlog);
    }

    /** Takes the next entry in fair order among the teams that may start one; null if none may. */
    QueueEntry take(Predicate<TeamState> mayStart) {
        for (var backlog : mByStartTag) {
            if (mayStart.test(backlog.mTeam)) {
                return takeFirst(backlog);
            }
        }
        return null;
    }

    /** Takes an entry out without charging its team for it. */
    boolean remove(QueueEntry entry) {
        var backlog = mBacklogs.get(entry.offer().team());
        if (backlog == null || !backlog.mEntries.contains(entry)) {
            return false;
        }
        removeEntry(backlog, entry);
        return true;
    }

    /** Notes work of a team that started without waiting, so that it counts as served. */
    void charge(TeamState team, QueueEntry entry) {
        double startTag = Math.max(mVirtualTime, mFinishTags.getOrDefault(team.mTeam, 0.0));
        mVirtualTime = startTag;
        mFinishTags.put(team.mTeam, startTag + entry.loadTokens() / team.mWeight);
    }

    /** Forgets a team that was idle for long. */
    void forget(TeamId team) {
        mFinishTags.remove(team);
    }

    /** Returns the last entry, by deadline, of the team that has the most waiting by weight. */
    QueueEntry lastOfLargestBacklog() {
        return mByWeightedTokens.isEmpty() ? null : mByWeightedTokens.last().mEntries.last();
    }

    /** Returns what a team would have waiting by weight with so many tokens more. */
    double weightedTokens(TeamState team, long moreTokens) {
        var backlog = mBacklogs.get(team.mTeam);
        long tokens = backlog == null ? 0 : backlog.mTokens;
        return (tokens + moreTokens) / team.mWeight;
    }

    /** Returns the tokens of this class that are served before a new entry of this team. */
    double tokensAhead(TeamState team, long deadlineNanos) {
        boolean hasBacklog = mBacklogs.containsKey(team.mTeam);
        double otherWeight = mTotalWeight - (hasBacklog ? team.mWeight : 0);
        long ownTokens = ownTokensAhead(team, deadlineNanos);
        return Math.min(mTokens, ownTokens * (1 + otherWeight / team.mWeight));
    }

    private long ownTokensAhead(TeamState team, long deadlineNanos) {
        var backlog = mBacklogs.get(team.mTeam);
        if (backlog == null) {
            return 0;
        }
        long tokens = 0;
        int counted = 0;
        for (var entry : backlog.mEntries) {
            if (entry.offer().deadlineNanos() > deadlineNanos) {
                return tokens;
            }
            if (++counted > MAX_ENTRIES_SUMMED) {
                return backlog.mTokens;
            }
            tokens += entry.loadTokens();
        }
        return tokens;
    }

    private QueueEntry takeFirst(Backlog backlog) {
        var entry = backlog.mEntries.first();
        double startTag = backlog.mStartTag;
        mVirtualTime = Math.max(mVirtualTime, startTag);
        double finishTag = startTag + entry.loadTokens() / backlog.mTeam.mWeight;
        Invariants.check(
                finishTag > startTag, "virtual time of %s stands still", backlog.mTeam.mTeam);
        mByStartTag.remove(backlog);
        backlog.mStartTag = finishTag;
        mByStartTag.add(backlog);
        mFinishTags.put(backlog.mTeam.mTeam, finishTag);
        removeEntry(backlog, entry);
        return entry;
    }

    private void removeEntry(Backlog backlog, QueueEntry entry) {
        mByWeightedTokens.remove(backlog);
        backlog.mEntries.remove(entry);
        backlog.mTokens -= entry.loadTokens();
        mTokens -= entry.loadTokens();
        if (backlog.mEntries.isEmpty()) {
            mBacklogs.remove(backlog.mTeam.mTeam);
            mByStartTag.remove(backlog);
            mTotalWeight = mBacklogs.isEmpty() ? 0 : mTotalWeight - backlog.mTeam.mWeight;
        } else {
            mByWeightedTokens.add(backlog);
        }
    }
}
