package org.fescueport.internal.decision.reconcile;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.ModelDeclaration;

/** One model's replicas, sorted by what they do. */
final class PoolView {
    private static final int SHARE_OUT = 4;

    private final ModelDeclaration mModel;
    private final List<Replica> mCurrent = new ArrayList<>();
    private final List<Replica> mOld = new ArrayList<>();
    private final List<Replica> mLoading = new ArrayList<>();
    private final List<Replica> mEmpty = new ArrayList<>();

    PoolView(ModelDeclaration model, Collection<Replica> replicas) {
        mModel = model;
        replicas.stream().filter(r -> r.pool().equals(model.pool())).forEach(this::add);
    }

    private void add(Replica replica) {
        var list =
                switch (replica.state()) {
                    case EMPTY -> mEmpty;
                    case LOADING -> mLoading;
                    case READY -> replica.artifact().equals(mModel.artifact()) ? mCurrent : mOld;
                };
        list.add(replica);
    }

    /** Returns the replicas that answer callers, of whatever version. */
    int serving() {
        return mCurrent.size() + mOld.size();
    }

    /** Returns the share of the wanted replicas that serve. */
    double health() {
        return (double) serving() / mModel.replicas();
    }

    boolean isAsDeclared() {
        return mOld.isEmpty() && mCurrent.size() + mLoading.size() >= mModel.replicas();
    }

    /** Returns the replica to load next without taking out more than is allowed. */
    Optional<Replica> next() {
        var missing = mModel.replicas() - serving() - mLoading.size();
        var spares = mLoading.size() < maxOut() || missing > 0;
        if (!mEmpty.isEmpty() && spares && (missing > 0 || (!mOld.isEmpty() && !canTakeOut()))) {
            return choose(mEmpty);
        }
        return canTakeOut() ? choose(mOld) : Optional.empty();
    }

    /** The last replica that serves is never taken out, nor more than a share of them. */
    private boolean canTakeOut() {
        var least = Math.max(1, mModel.replicas() - maxOut());
        return !mOld.isEmpty() && mLoading.size() < maxOut() && serving() - 1 >= least;
    }

    private int maxOut() {
        return Math.max(1, mModel.replicas() / SHARE_OUT);
    }

    /** Spreads over failure domains: one where the fewest serve the declared version. */
    private Optional<Replica> choose(List<Replica> candidates) {
        return candidates.stream()
                .min(
                        Comparator.comparingLong((Replica r) -> servingIn(r.domain()))
                                .thenComparing(r -> r.node().name()));
    }

    private long servingIn(FailureDomain domain) {
        return mCurrent.stream().filter(r -> r.domain().equals(domain)).count()
                + mLoading.stream().filter(r -> r.domain().equals(domain)).count();
    }
}
