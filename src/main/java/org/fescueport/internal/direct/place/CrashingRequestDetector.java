package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.decision.poison.PoisonAdmission;
import org.fescueport.internal.decision.poison.PoisonTracker;
import org.fescueport.internal.direct.state.ReplicaEntry;

/**
 * Detects requests, and prompt parts of requests, that crash replicas.
 *
 * <p>A lost response alone is no evidence, as connections are lost for many reasons. It counts as a
 * strike if the replica cannot be reached shortly afterwards or has started a new incarnation, and
 * is dropped if the replica responds to anything sent later. A request that has succeeded since is
 * a frequent one that merely happened to be running when replicas crashed, so its strikes are
 * cleared. The same holds for the prompt parts of requests that had not begun to be answered, less
 * those that have just been answered in other requests. Not thread-safe; used only on the event
 * loop.
 */
public final class CrashingRequestDetector {
    /** A crashed replica is unreachable within seconds; a later failure has another cause. */
    private static final Duration SUSPICION_TIME = Duration.ofSeconds(3);

    private static final PoisonTracker.Limits LIMITS =
            new PoisonTracker.Limits(512, 60_000, 10_000);
    private static final int MAX_SUSPICIONS = 256;

    /** Receives what this node detects about requests that may have crashed a replica. */
    @FunctionalInterface
    public interface Listener {
        /** Called once for each request and incarnation of a replica that was lost with it. */
        void onStrike(Fingerprint request, AgentIncarnation replica);

        /** Called when a request that had strikes has succeeded. */
        default void onCleared(Fingerprint request) {}

        /**
         * Called for each new strike against a prompt part, and for each that is cleared.
         *
         * @param crashes number of crashes that count against the part now
         */
        default void onPartStrike(PartStrike strike, Optional<PromptPartId> part, int crashes) {}
    }

    private record Suspicion(
            Fingerprint request, List<PromptPartId> parts, ReplicaEntry replica, long atNanos) {}

    private final PoisonTracker mPoisonTracker = PoisonTracker.create(LIMITS);
    private final List<Suspicion> mSuspicions = new ArrayList<>();
    private final PartStrikes mPartStrikes;
    private Listener mListener = (request, replica) -> {};

    private CrashingRequestDetector(RandomGenerator random) {
        mPartStrikes = PartStrikes.create(random);
    }

    /**
     * Returns a detector without any strikes.
     *
     * @param random spreads the tries of refused prompt parts over the nodes
     */
    public static CrashingRequestDetector create(RandomGenerator random) {
        return new CrashingRequestDetector(random);
    }

    /** Sets the number of nodes of the fleet. */
    public void onNodes(int nodes) {
        mPartStrikes.onNodes(nodes);
    }

    /** Sets the listener for what this node detects; it replaces the previous one. */
    public void listen(Listener listener) {
        mListener = listener;
    }

    /** Returns whether any request has strikes, so that fingerprints need to be computed. */
    public boolean hasStrikes() {
        return mPoisonTracker.size() > 0;
    }

    /** Returns whether replicas have crashed with this request so often that it must be refused. */
    public boolean isPoison(Fingerprint request, long nowNanos) {
        var noReplica = AgentIncarnation.of(NodeId.of(""), 0);
        return mPoisonTracker.admit(request, noReplica, millis(nowNanos))
                instanceof PoisonAdmission.Poison;
    }

    /**
     * Returns the prompt part because of which a new request must be refused, if there is one. A
     * request that may try a refused part is told so once.
     */
    public PartVerdict admitParts(List<PromptPartId> parts, long nowNanos) {
        return mPartStrikes.admit(parts, nowNanos);
    }

    /** Returns the prompt part because of which a request must not be sent again. */
    public Optional<PromptPartId> refusedPart(List<PromptPartId> parts, long nowNanos) {
        return mPartStrikes.firstRefused(parts, nowNanos);
    }

    /** Returns the number of crashes that count against each of these parts. */
    public List<Integer> crashes(List<PromptPartId> parts) {
        return parts.stream().map(part -> mPartStrikes.crashes(part.hash())).toList();
    }

    /**
     * Returns the first prompt part that has got more crashes than when a request was allowed to
     * try it, so that the request must not be sent.
     */
    public Optional<PromptPartId> refusedPartSince(
            List<PromptPartId> parts, List<Integer> crashes, long nowNanos) {
        return mPartStrikes.firstRefusedSince(parts, crashes, nowNanos);
    }

    /**
     * Records that the response to a request was lost with its connection.
     *
     * @param parts prompt parts that may be the cause
     */
    public void onResponseLost(
            Fingerprint request, List<PromptPartId> parts, ReplicaEntry replica, long nowNanos) {
        if (mSuspicions.size() < MAX_SUSPICIONS) {
            mSuspicions.add(new Suspicion(request, parts, replica, nowNanos));
        }
    }

    /** Returns whether it is still open if the replica crashed with one of its requests. */
    public boolean isSuspected(ReplicaEntry replica, long nowNanos) {
        return mSuspicions.stream()
                .anyMatch(s -> s.replica().id().equals(replica.id()) && !isExpired(s, nowNanos));
    }

    /**
     * Records that a replica processes something that was sent to it at the given time. Suspicions
     * from before that time are dropped.
     */
    public void onReplicaAlive(ReplicaEntry replica, long sentAtNanos) {
        mSuspicions.removeIf(
                suspicion ->
                        suspicion.replica().id().equals(replica.id())
                                && sentAtNanos - suspicion.atNanos() > 0);
    }

    /**
     * Records that a replica could not be reached; this confirms the suspicions against its
     * requests.
     */
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

    /** Records a strike that another node has detected; returns whether it is new. */
    public boolean onStrike(Fingerprint request, AgentIncarnation replica, long nowNanos) {
        return mPoisonTracker.strike(request, replica, millis(nowNanos));
    }

    /** Records that a request has succeeded, so it did not cause the earlier crashes. */
    public void onSucceeded(Fingerprint request) {
        if (mPoisonTracker.forget(request)) {
            mListener.onCleared(request);
        }
    }

    /** Records that another node has seen the request succeed. */
    public void onCleared(Fingerprint request) {
        mPoisonTracker.forget(request);
    }

    /** Records that a request with these prompt parts has been answered with success. */
    public void onPartsAnswered(List<PromptPartId> parts, long nowNanos) {
        for (PromptPartId part : parts) {
            for (PartStrike cleared : mPartStrikes.onAnswered(part.hash(), nowNanos)) {
                mListener.onPartStrike(cleared, Optional.of(part), 0);
            }
        }
    }

    /**
     * Records a strike against a prompt part that another node knows. If this node has seen the
     * part answered a short time ago, it clears the strike for all nodes.
     *
     * @return whether it was new, so that further nodes may lack it
     */
    public boolean onPartStrike(PartStrike strike, long nowNanos) {
        if (!mPartStrikes.add(strike, nowNanos)) {
            return false;
        }
        if (!strike.cleared() && mPartStrikes.isSound(strike.part(), nowNanos)) {
            PartStrike cleared = strike.asCleared();
            mPartStrikes.add(cleared, nowNanos);
            mListener.onPartStrike(cleared, Optional.empty(), mPartStrikes.crashes(strike.part()));
        }
        return true;
    }

    /** Returns all strikes against prompt parts, for a node that may not know them. */
    public List<PartStrike> partStrikes() {
        return mPartStrikes.all();
    }

    /** Drops expired suspicions and strikes. */
    public void sweep(long nowNanos) {
        mSuspicions.removeIf(suspicion -> isExpired(suspicion, nowNanos));
        mPoisonTracker.sweep(millis(nowNanos));
        mPartStrikes.sweep(nowNanos);
    }

    private void strike(Suspicion suspicion, long nowNanos) {
        ReplicaEntry replica = suspicion.replica();
        var life = replica.life();
        if (onStrike(suspicion.request(), life, nowNanos)) {
            mListener.onStrike(suspicion.request(), life);
        }
        for (PromptPartId part : suspicion.parts()) {
            var strike = PartStrike.of(part.hash(), life);
            if (!mPartStrikes.isSound(strike.part(), nowNanos)
                    && mPartStrikes.add(strike, nowNanos)) {
                int crashes = mPartStrikes.crashes(strike.part());
                mListener.onPartStrike(strike, Optional.of(part), crashes);
            }
        }
    }

    private static boolean isExpired(Suspicion suspicion, long nowNanos) {
        return nowNanos - suspicion.atNanos() > SUSPICION_TIME.toNanos();
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }
}
