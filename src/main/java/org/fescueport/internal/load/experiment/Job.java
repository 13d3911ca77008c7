package org.fescueport.internal.load.experiment;

import java.util.HashSet;
import java.util.Set;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.Refusals;

/** One request of an experiment. */
final class Job {
    /** Number of a replica that stands for none. */
    static final int NONE = -1;

    final long mId;
    final int mTeam;
    final int mChat;
    final int mRouter;
    final int mPromptTokens;
    final int mDecodeTokens;
    final long mArrivedNanos;
    final long mDeadlineNanos;
    final Affinity mAffinity;
    final TeamId mTeamId;

    /** Replica that served the chat's last turn, as the caller's ticket tells. */
    int mTicket = NONE;

    boolean mReturning;

    /** Whether its deadline passes before its answer is whole. */
    boolean mIsCut;

    int mAttempt = 1;
    Refusals mRefusals = Refusals.none();
    long mLeastRefusedTokens;
    int mImportedTokens;
    int mCachedTokens;
    long mStartedNanos;

    /** Tokens of the answer that the admission was told of. */
    long mToldTokens;

    /** Place among the running jobs of its replica. */
    int mSlot;

    private AttemptId mAttemptId;
    final Set<NodeId> mTried = new HashSet<>(4);

    Job(long id, int team, int chat, int router, int prompt, int decode, long now, long deadline) {
        mId = id;
        mTeam = team;
        mChat = chat;
        mRouter = router;
        mPromptTokens = prompt;
        mDecodeTokens = decode;
        mArrivedNanos = now;
        mDeadlineNanos = deadline;
        mAffinity = Teams.affinityOf(team, chat);
        mTeamId = Teams.idOf(team);
    }

    TeamId teamId() {
        return mTeamId;
    }

    /** The same object for the same attempt, so that maps find it without comparing. */
    AttemptId attemptId() {
        if (mAttemptId == null) {
            mAttemptId = AttemptId.of(RequestId.of(0, mId), mAttempt);
        }
        return mAttemptId;
    }

    void nextAttempt() {
        mAttempt++;
        mImportedTokens = 0;
        mAttemptId = null;
    }
}
