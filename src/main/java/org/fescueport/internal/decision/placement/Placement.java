package org.fescueport.internal.decision.placement;

import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;

/**
 * Chooses the replica for a request: the one that the ticket names, else the ranks of the weighted
 * rendezvous hash in order, passing over replicas that are known to be above their load bound.
 *
 * <p>The ranks do not depend on who asks, so a chat that spills goes to the same second place each
 * time and from every router. Immutable and safe for use by several threads.
 *
 * <pre>{@code
 * Placement placement = Placement.create(ownDomain);
 * switch (placement.choose(set, request, bound, loads, filter, now)) {
 *     case Choice.Chosen chosen -> submit(chosen.replica());
 *     case Choice.AllBusy busy -> refuse(busy.retryAfterMillis());
 *     case Choice.NoReplica none -> refuseUnavailable();
 * }
 * }</pre>
 */
public final class Placement {
    /** Replicas that are passed over as busy before the least busy of them is asked. */
    private static final int MAX_BUSY_SKIPPED = 8;

    /** Refusals after which the least loaded of those that refused is asked again. */
    private static final int MAX_REFUSALS = 4;

    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private final FailureDomain mOwnDomain;

    private Placement(FailureDomain ownDomain) {
        mOwnDomain = ownDomain;
    }

    /** Returns the placement of a router in this failure domain. */
    public static Placement create(FailureDomain ownDomain) {
        return new Placement(ownDomain);
    }

    /**
     * Chooses for one attempt.
     *
     * @param filter passes over what it does not allow, such as replicas tried by earlier attempts
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

    /** One search through the ranks. */
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
            // Of a replica that was not heard lately only the mean is known: it is worth asking.
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

        /** Near for a new chat, less loaded for a request without a prefix; else the first. */
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

        /** The agents are the authority on their load: what is known here may be old. */
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
