package org.fescueport.internal.decision.placement;

import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;

/**
 * Chooses the replica for a request: the replica named by the ticket, or else the first replica in
 * the order of the weighted rendezvous hash that is not known to exceed its load bound.
 *
 * <p>The order is the same on every router, so a chat that spills over from its first replica goes
 * to the same second replica every time and from every router. Immutable and thread-safe.
 *
 * <pre>{@code
 * Placement placement = Placement.create(ownDomain);
 * switch (placement.choose(set, request, bound, loads, filter, now)) {
 *     case PlacementResult.Chosen chosen -> submit(chosen.replica());
 *     case PlacementResult.AllBusy busy -> refuse(busy.retryAfterMillis());
 *     case PlacementResult.NoReplica none -> refuseUnavailable();
 * }
 * }</pre>
 */
public final class Placement {
    /** Number of busy replicas to skip before the request is sent to the least busy of them. */
    private static final int MAX_BUSY_SKIPPED = 8;

    /** Number of refusals after which the least loaded of the refusing replicas is tried again. */
    private static final int MAX_REFUSALS = 4;

    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private final FailureDomain mOwnDomain;

    private Placement(FailureDomain ownDomain) {
        mOwnDomain = ownDomain;
    }

    /** Returns a placement for a router in the given failure domain. */
    public static Placement create(FailureDomain ownDomain) {
        return new Placement(ownDomain);
    }

    /**
     * Chooses the replica for one attempt of a request.
     *
     * @param loads estimated loads of the replicas
     * @param filter excludes replicas, such as those tried by earlier attempts
     */
    public PlacementResult choose(
            ReplicaSet set,
            PlacementRequest request,
            LoadBound bound,
            LoadEstimator loads,
            ReplicaFilter filter,
            long nowNanos) {
        return new Search(set, request, bound, loads, filter, nowNanos).run();
    }

    /** The search for one attempt. */
    private final class Search {
        private final ReplicaSet mSet;
        private final PlacementRequest mRequest;
        private final LoadEstimator mLoads;
        private final long mNowNanos;
        private final int mTicketIndex;
        private final CandidateIterator mCandidates;

        Search(
                ReplicaSet set,
                PlacementRequest request,
                LoadBound bound,
                LoadEstimator loads,
                ReplicaFilter filter,
                long nowNanos) {
            mSet = set;
            mRequest = request;
            mLoads = loads;
            mNowNanos = nowNanos;
            mTicketIndex = ticketIndex();
            double mean = loads.mean(nowNanos);
            // A replica without a recent report is estimated at the mean, so it is worth trying.
            ReplicaFilter hasCapacity =
                    replica -> mean == 0 || loadOf(replica) <= bound.limit(mean);
            mCandidates =
                    CandidateIterator.of(
                            set, request.affinity(), filter, hasCapacity, this::loadOf);
        }

        PlacementResult run() {
            int refusals = mRequest.refusals().count();
            if (refusals >= MAX_REFUSALS) {
                return retryLeastLoaded();
            }
            if (mTicketIndex >= 0 && mCandidates.tryPreferred(mTicketIndex)) {
                return chosen(mTicketIndex, PlacementResult.Reason.TICKET);
            }
            int first = nextWithCapacity();
            if (first < 0) {
                return refusals > 0 && mCandidates.leastLoaded() < 0
                        ? retryLeastLoaded()
                        : leastBusy();
            }
            if (mCandidates.rank() > 0 || mTicketIndex >= 0) {
                return chosen(first, PlacementResult.Reason.SPILL);
            }
            return mRequest.continuesChat()
                    ? chosen(first, PlacementResult.Reason.FIRST_RANK)
                    : betterOfFirstTwo(first);
        }

        private int ticketIndex() {
            if (mRequest.ticket().isEmpty()) {
                return -1;
            }
            ChatTicket ticket = mRequest.ticket().get();
            int index = mSet.indexOf(ticket.node());
            boolean held =
                    index >= 0 && mSet.replica(index).mayHaveIncarnation(ticket.incarnation());
            return held ? index : -1;
        }

        private int nextWithCapacity() {
            return mCandidates.next(MAX_BUSY_SKIPPED);
        }

        /**
         * For a new chat, prefers the second rank if only that one is in the router's failure
         * domain. For a request without a shared prefix, prefers the second rank if it is less
         * loaded.
         */
        private PlacementResult betterOfFirstTwo(int first) {
            if (mRequest.affinity().cacheable() && isInOwnDomain(first)) {
                return chosen(first, PlacementResult.Reason.FIRST_RANK);
            }
            int second = nextWithCapacity();
            if (second < 0 || mCandidates.rank() > 1) {
                return chosen(first, PlacementResult.Reason.FIRST_RANK);
            }
            if (mRequest.affinity().cacheable()) {
                return isInOwnDomain(second)
                        ? chosen(second, PlacementResult.Reason.NEAR)
                        : chosen(first, PlacementResult.Reason.FIRST_RANK);
            }
            return loadAt(second) < loadAt(first)
                    ? chosen(second, PlacementResult.Reason.LESS_LOADED)
                    : chosen(first, PlacementResult.Reason.FIRST_RANK);
        }

        private boolean isInOwnDomain(int index) {
            return mSet.replica(index).domain().equals(mOwnDomain);
        }

        private double loadAt(int index) {
            return loadOf(mSet.replica(index));
        }

        private double loadOf(Replica replica) {
            return mLoads.loadOf(replica.node(), mNowNanos);
        }

        /**
         * Returns the least busy of the skipped replicas rather than a refusal: the estimate here
         * may be out of date, and the replica's agent decides whether it has capacity.
         */
        private PlacementResult leastBusy() {
            int least = mCandidates.leastLoaded();
            return least < 0
                    ? new PlacementResult.NoReplica()
                    : chosen(least, PlacementResult.Reason.LEAST_BUSY);
        }

        private PlacementResult retryLeastLoaded() {
            var refusals = mRequest.refusals();
            int index = mSet.indexOf(refusals.lowest().node());
            if (refusals.count() < 2 || refusals.count() > MAX_REFUSALS || index < 0) {
                long millis = refusals.retryAfterMillis();
                return new PlacementResult.AllBusy(Math.max(MIN_RETRY_AFTER_MILLIS, millis));
            }
            return chosen(
                    index, PlacementResult.Reason.LEAST_REFUSED, refusals.secondLowestTokens());
        }

        private PlacementResult chosen(int index, PlacementResult.Reason reason) {
            return chosen(index, reason, 0);
        }

        private PlacementResult chosen(
                int index, PlacementResult.Reason reason, long leastRefusedTokens) {
            boolean holderDiffers = mTicketIndex >= 0 && mTicketIndex != index;
            return new PlacementResult.Chosen(
                    mSet.replica(index),
                    reason,
                    holderDiffers ? Optional.of(mSet.replica(mTicketIndex)) : Optional.empty(),
                    leastRefusedTokens);
        }
    }
}
