package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.decision.poison.PoisonAdmission;
import org.fescueport.internal.decision.poison.PoisonTracker;
import org.fescueport.internal.direct.state.ReplicaEntry;

/**
 * Finds requests that replicas die of.
 *
 * <p>A lost answer alone is no sign, as connections are lost for many reasons. It becomes one when
 * the replica cannot be reached shortly afterwards or has begun another life, and is forgotten when
 * the replica answers anything that came later. A request that was answered since is of the kind
 * that is asked often and was there when replicas died. Used by the event loop alone.
 */
public final class CrashingRequestDetector {
    /** A crashed replica is down for seconds; what is found later has another reason. */
    private static final Duration SUSPICION_TIME = Duration.ofSeconds(3);

    private static final PoisonTracker.Limits LIMITS =
            new PoisonTracker.Limits(512, 60_000, 10_000);
    private static final int MAX_SUSPICIONS = 256;

    /** Told what this node finds about requests that may have cost a replica. */
    @FunctionalInterface
    public interface Listener {
        /** Called once for each request and life of a replica that was lost with it. */
        void onStrike(Fingerprint request, AgentIncarnation replica);

        /** A request that was held against has been answered. */
        default void onCleared(Fingerprint request) {}
    }

    private record Suspicion(Fingerprint request, ReplicaEntry replica, long atNanos) {}

    private final PoisonTracker mPoisonTracker = PoisonTracker.create(LIMITS);
    private final List<Suspicion> mSuspicions = new ArrayList<>();
    private Listener mListener = (request, replica) -> {};

    private CrashingRequestDetector() {}

    /** Returns a watch that suspects nothing. */
    public static CrashingRequestDetector create() {
        return new CrashingRequestDetector();
    }

    /** Sets who is told of what this node has found. */
    public void listen(Listener listener) {
        mListener = listener;
    }

    /** Returns whether any request is held against, so that fingerprints need to be computed. */
    public boolean hasStrikes() {
        return mPoisonTracker.size() > 0;
    }

    /** Returns whether replicas have died of this request so often that it is refused. */
    public boolean isPoison(Fingerprint request, long nowNanos) {
        var noReplica = AgentIncarnation.of(NodeId.of(""), 0);
        return mPoisonTracker.admit(request, noReplica, millis(nowNanos))
                instanceof PoisonAdmission.Poison;
    }

    /** Notes that the answer to a request was lost with its connection. */
    public void onResponseLost(Fingerprint request, ReplicaEntry replica, long nowNanos) {
        if (mSuspicions.size() < MAX_SUSPICIONS) {
            mSuspicions.add(new Suspicion(request, replica, nowNanos));
        }
    }

    /** Notes that a replica works on something that it was sent at this time. */
    public void onReplicaAlive(ReplicaEntry replica, long sentAtNanos) {
        mSuspicions.removeIf(
                suspicion ->
                        suspicion.replica().id().equals(replica.id())
                                && sentAtNanos - suspicion.atNanos() > 0);
    }

    /** Notes that a replica could not be reached. */
    public void onUnreachable(ReplicaEntry replica, long nowNanos) {
        Iterator<Suspicion> each = mSuspicions.iterator();
        while (each.hasNext()) {
            Suspicion suspicion = each.next();
            if (isExpired(suspicion, nowNanos)) {
                each.remove();
            } else if (suspicion.replica().id().equals(replica.id())) {
                each.remove();
                strike(suspicion, nowNanos);
            }
        }
    }

    /** Takes in what another node has found; returns whether it is new. */
    public boolean onStrike(Fingerprint request, AgentIncarnation replica, long nowNanos) {
        return mPoisonTracker.strike(request, replica, millis(nowNanos));
    }

    /** Notes that a request was answered well: what it met with was not of its making. */
    public void onSucceeded(Fingerprint request) {
        if (mPoisonTracker.forget(request)) {
            mListener.onCleared(request);
        }
    }

    /** Takes in that another node has seen a request answered. */
    public void onCleared(Fingerprint request) {
        mPoisonTracker.forget(request);
    }

    /** Forgets what is old. */
    public void sweep(long nowNanos) {
        mSuspicions.removeIf(suspicion -> isExpired(suspicion, nowNanos));
        mPoisonTracker.sweep(millis(nowNanos));
    }

    private void strike(Suspicion suspicion, long nowNanos) {
        ReplicaEntry replica = suspicion.replica();
        var life = replica.life();
        if (onStrike(suspicion.request(), life, nowNanos)) {
            mListener.onStrike(suspicion.request(), life);
        }
    }

    private static boolean isExpired(Suspicion suspicion, long nowNanos) {
        return nowNanos - suspicion.atNanos() > SUSPICION_TIME.toNanos();
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }
}
