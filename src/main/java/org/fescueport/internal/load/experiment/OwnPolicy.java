package org.fescueport.internal.load.experiment;

import java.util.Optional;
import java.util.Random;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.ejection.EjectionSettings;
import org.fescueport.internal.decision.ejection.OutlierEjection;
import org.fescueport.internal.decision.placement.ChatTicket;
import org.fescueport.internal.decision.placement.LoadEstimator;
import org.fescueport.internal.decision.placement.Placement;
import org.fescueport.internal.decision.placement.PlacementRequest;
import org.fescueport.internal.decision.placement.PlacementResult;
import org.fescueport.internal.decision.retry.FailedAttempt;
import org.fescueport.internal.decision.retry.RetryBudget;
import org.fescueport.internal.decision.retry.RetryDecision;
import org.fescueport.internal.decision.retry.RetryPolicy;

/** The product's own decisions, one set of them for each router. */
final class OwnPolicy implements Policy {
    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_BURST = 10;
    private static final int MAX_REPLICAS = 4_096;
    private static final long WORK_TOKENS = 250;

    /** What one router holds. */
    private static final class Router {
        final Placement mPlacement;
        final LoadEstimator mLoads = LoadEstimator.create(MAX_REPLICAS);
        final RetryBudget mBudget = RetryBudget.create(RETRY_SHARE, RETRY_BURST);
        final RetryPolicy mRetries;
        final OutlierEjection mEjection;

        Router(int number, FleetSettings settings, Fleet fleet, long seed) {
            mPlacement = Placement.create(FailureDomain.of("fd" + number % settings.domains()));
            mRetries = RetryPolicy.create(mBudget, new Random(seed + number));
            mEjection = OutlierEjection.create(EjectionSettings.defaults(), fleet.viewOf(number));
        }
    }

    private final Router[] mRouters;
    private final long mSeed;
    private final boolean mTickets;
    private final boolean mImports;

    private OwnPolicy(int routers, long seed, boolean tickets, boolean imports) {
        mRouters = new Router[routers];
        mSeed = seed;
        mTickets = tickets;
        mImports = imports;
    }

    /**
     * Returns the policy.
     *
     * @param tickets whether callers bring their tickets back
     * @param imports whether a cache is imported when its holder is busy
     */
    static OwnPolicy create(int routers, long seed, boolean tickets, boolean imports) {
        return new OwnPolicy(routers, seed, tickets, imports);
    }

    @Override
    public Target choose(Job job, Fleet fleet) {
        var router = router(job, fleet);
        var set = fleet.viewOf(job.mRouter);
        router.mEjection.onReplicas(set);
        if (job.mAttempt == 1) {
            router.mBudget.onRequest();
        }
        var ejected = router.mEjection.filter(job.mAffinity.key(), fleet.now());
        var choice =
                router.mPlacement.choose(
                        set,
                        requestOf(job, fleet),
                        fleet.settings().bound(),
                        router.mLoads,
                        replica ->
                                !job.mTried.contains(replica.node())
                                        && fleet.isListed(job.mRouter, replica.node())
                                        && ejected.allows(replica),
                        fleet.now());
        return choice instanceof PlacementResult.Chosen chosen
                ? target(job, chosen, router, fleet)
                : null;
    }

    private Target target(Job job, PlacementResult.Chosen chosen, Router router, Fleet fleet) {
        job.mLeastRefusedTokens = chosen.leastRefusedTokens();
        router.mLoads.onSent(chosen.replica().node(), WORK_TOKENS);
        var holder = chosen.cacheHolder().map(replica -> fleet.replica(replica.node()));
        boolean live = mImports && holder.isPresent() && holder.get().mAlive;
        return new Target(fleet.replica(chosen.replica().node()), live ? holder.get() : null);
    }

    private PlacementRequest requestOf(Job job, Fleet fleet) {
        return freshRequestOf(job, fleet).withRefusals(job.mRefusals);
    }

    private PlacementRequest freshRequestOf(Job job, Fleet fleet) {
        if (!job.mReturning) {
            return PlacementRequest.forNewChat(job.mAffinity, WORK_TOKENS);
        }
        var ticket = mTickets && job.mTicket != Job.NONE ? ticketOf(job, fleet) : null;
        return PlacementRequest.forExistingChat(
                job.mAffinity, Optional.ofNullable(ticket), WORK_TOKENS);
    }

    private static ChatTicket ticketOf(Job job, Fleet fleet) {
        var holder = fleet.replica(job.mTicket);
        return new ChatTicket(
                job.teamId(),
                ChatId.of(Integer.toString(job.mChat)),
                Fleet.POOL,
                holder.mReplica.node(),
                holder.mReplica.incarnation(),
                job.mPromptTokens);
    }

    @Override
    public void onAnswer(Job job, FakeReplica replica, AdmissionDecision admission, Fleet fleet) {
        var router = router(job, fleet);
        var node = replica.mReplica.node();
        router.mLoads.onReport(node, replica.mQueue.load(), WORK_TOKENS, fleet.now());
        router.mEjection.onSuccess(node, fleet.now());
        if (admission instanceof AdmissionDecision.Refused refused) {
            long load = replica.mQueue.load().outstandingTokens();
            job.mRefusals = job.mRefusals.with(node, load, refused.retryAfterMillis());
        }
    }

    @Override
    public void onUnreachable(Job job, FakeReplica replica, Fleet fleet) {
        var router = router(job, fleet);
        router.mLoads.onLost(replica.mReplica.node(), WORK_TOKENS);
        router.mEjection.onFailure(replica.mReplica.node(), fleet.now());
    }

    @Override
    public long retryDelayNanos(Job job, boolean busy, Fleet fleet) {
        long left = (job.mDeadlineNanos - fleet.now()) / VirtualTime.MILLI;
        var attempt = new FailedAttempt(job.mAttempt, Outcome.NOT_RUN, busy, false, left);
        return switch (router(job, fleet).mRetries.after(attempt)) {
            case RetryDecision.Retry retry -> retry.delayMillis() * VirtualTime.MILLI;
            case RetryDecision.GiveUp giveUp -> -1;
        };
    }

    @Override
    public boolean isBounded() {
        return true;
    }

    @Override
    public boolean handsOver() {
        return true;
    }

    private Router router(Job job, Fleet fleet) {
        if (mRouters[job.mRouter] == null) {
            mRouters[job.mRouter] = new Router(job.mRouter, fleet.settings(), fleet, mSeed);
        }
        return mRouters[job.mRouter];
    }
}
