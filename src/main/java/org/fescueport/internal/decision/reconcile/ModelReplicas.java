package org.fescueport.internal.decision.reconcile;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.ModelDeclaration;

/** The replicas in one model's pool, grouped by their activity. */
final class ModelReplicas {
    /** One in this many of the declared replicas may load at the same time, but at least one. */
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

    /** Returns the number of replicas that serve any version of the model. */
    int servingCount() {
        return mCurrent.size() + mOutdated.size();
    }

    /** Returns the number of serving replicas as a fraction of the declared number. */
    double health() {
        return (double) servingCount() / mModel.replicas();
    }

    boolean matchesDeclaration() {
        return mOutdated.isEmpty() && mCurrent.size() + mLoading.size() >= mModel.replicas();
    }

    /**
     * Returns the replica that should load the declared version next; empty if none may do so now.
     * An empty replica loads if replicas are missing or if no outdated one may stop serving now;
     * otherwise an outdated one is reloaded.
     */
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

    /**
     * Returns whether a replica of an outdated version may stop serving in order to load. The last
     * serving replica never may, and only a fraction of the replicas may load at the same time.
     */
    private boolean canReloadServing() {
        var minServing = Math.max(1, mModel.replicas() - maxLoading());
        return !mOutdated.isEmpty()
                && mLoading.size() < maxLoading()
                && servingCount() - 1 >= minServing;
    }

    private int maxLoading() {
        return Math.max(1, mModel.replicas() / MAX_LOADING_DIVISOR);
    }

    /**
     * Chooses a candidate in the failure domain in which the fewest replicas serve or load the
     * declared version, so that the replicas are spread over the domains.
     */
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
