package org.fescueport.internal.decision.reconcile;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.ModelDeclaration;

/** One model's replicas, sorted by what they do. */
final class ModelReplicas {
    private static final int MAX_LOADING_DIVISOR = 4;

    private final ModelDeclaration mModel;
    private final List<ObservedReplica> mCurrent = new ArrayList<>();
    private final List<ObservedReplica> mOutdated = new ArrayList<>();
    private final List<ObservedReplica> mLoading = new ArrayList<>();
    private final List<ObservedReplica> mEmpty = new ArrayList<>();

    ModelReplicas(ModelDeclaration model, Collection<ObservedReplica> replicas) {
        mModel = model;
        replicas.stream().filter(r -> r.pool().equals(model.pool())).forEach(this::add);
    }

    private void add(ObservedReplica replica) {
        var list =
                switch (replica.state()) {
                    case EMPTY -> mEmpty;
                    case LOADING -> mLoading;
                    case READY ->
                            replica.artifact().equals(mModel.artifact()) ? mCurrent : mOutdated;
                };
        list.add(replica);
    }

    /** Returns the replicas that answer callers, of whatever version. */
    int servingCount() {
        return mCurrent.size() + mOutdated.size();
    }

    /** Returns the share of the wanted replicas that serve. */
    double health() {
        return (double) servingCount() / mModel.replicas();
    }

    boolean matchesDeclaration() {
        return mOutdated.isEmpty() && mCurrent.size() + mLoading.size() >= mModel.replicas();
    }

    /** Returns the replica to load next without taking out more than is allowed. */
    Optional<ObservedReplica> next() {
        var missing = mModel.replicas() - servingCount() - mLoading.size();
        var mayLoadEmpty = mLoading.size() < maxLoading() || missing > 0;
        if (!mEmpty.isEmpty()
                && mayLoadEmpty
                && (missing > 0 || (!mOutdated.isEmpty() && !canReloadServing()))) {
            return chooseByDomain(mEmpty);
        }
        return canReloadServing() ? chooseByDomain(mOutdated) : Optional.empty();
    }

    /** The last replica that serves is never taken out, nor more than a share of them. */
    private boolean canReloadServing() {
        var minServing = Math.max(1, mModel.replicas() - maxLoading());
        return !mOutdated.isEmpty()
                && mLoading.size() < maxLoading()
                && servingCount() - 1 >= minServing;
    }

    private int maxLoading() {
        return Math.max(1, mModel.replicas() / MAX_LOADING_DIVISOR);
    }

    /** Spreads over failure domains: one where the fewest serve the declared version. */
    private Optional<ObservedReplica> chooseByDomain(List<ObservedReplica> candidates) {
        return candidates.stream()
                .min(
                        Comparator.comparingLong(
                                        (ObservedReplica r) -> currentOrLoadingIn(r.domain()))
                                .thenComparing(r -> r.node().name()));
    }

    private long currentOrLoadingIn(FailureDomain domain) {
        return mCurrent.stream().filter(r -> r.domain().equals(domain)).count()
                + mLoading.stream().filter(r -> r.domain().equals(domain)).count();
    }
}
