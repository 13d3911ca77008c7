package org.fescueport.internal.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.log.config.SnapshotDuty;
import org.fescueport.internal.log.lease.LeaseKeeper;

/**
 * The duties that some agents do for the whole fleet under leases: snapshots of the configuration,
 * and placement of models where a weight store is set.
 */
final class SharedDuties implements AutoCloseable {
    private static final Duration CANDIDATE_INTERVAL = Duration.ofSeconds(10);

    private final LeaseKeeper mKeeper;
    private final SnapshotDuty mSnapshots;
    private final Optional<PlacementDuty> mPlacement;
    private final List<ScheduledFuture<?>> mTasks = new ArrayList<>();

    private SharedDuties(
            LeaseKeeper keeper, SnapshotDuty snapshots, Optional<PlacementDuty> placement) {
        mKeeper = keeper;
        mSnapshots = snapshots;
        mPlacement = placement;
    }

    /** Starts the duties with a keeper that this closes. */
    static SharedDuties start(
            NodeId self,
            Membership membership,
            LeaseKeeper keeper,
            SnapshotDuty snapshots,
            Optional<PlacementDuty> placement,
            ScheduledExecutorService timers) {
        var duties = new SharedDuties(keeper, snapshots, placement);
        keeper.start();
        duties.stand(DutyCandidate.of(self, membership, snapshots::setCandidate), timers);
        placement.ifPresent(
                duty ->
                        duties.stand(
                                DutyCandidate.of(self, membership, duty::setCandidate), timers));
        return duties;
    }

    /** Places models, if this node holds the lease for that; call it every second. */
    void placeModels() {
        mPlacement.ifPresent(PlacementDuty::look);
    }

    @Override
    public void close() {
        mTasks.forEach(task -> task.cancel(false));
        mSnapshots.close();
        mKeeper.close();
    }

    private void stand(DutyCandidate candidate, ScheduledExecutorService timers) {
        long millis = CANDIDATE_INTERVAL.toMillis();
        mTasks.add(
                timers.scheduleWithFixedDelay(
                        candidate::look, millis, millis, TimeUnit.MILLISECONDS));
    }
}
