package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
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
 * cleared. The same holds for the prompt parts of requests, less those that have just been answered
 * in other requests; a crash inside an answer counts for less, and only if the replica refuses
 * connections, as the sender's own links may be at fault. So does any crash for a part that belongs
 * to one session alone. An answer that ends with its connection is a success once the replica is
 * known to live, and a lost one if it has crashed. Not thread-safe; used only on the event loop.
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

        /** Called when it is known, or given up to find out, what a lost answer shows. */
        default void onSuspicionEnded(Loss loss, ReplicaEntry replica, Outcome outcome) {}
    }

    /** What became of the suspicion that a replica crashed with a request. */
    public enum Outcome {
        /** The replica has crashed. */
        CONFIRMED,
        /** The replica lives. */
        REPLICA_ALIVE,
        /** Nobody found out in time. */
        EXPIRED,
        /** Too many others were open. */
        NOT_KEPT
    }

    /** How far the answer to a request had come when its connection was lost. */
    public enum Progress {
        /** Nothing of its body had been received. */
        NOTHING,
        /** Part of its body had been received, or the request had been lost before. */
        PART,
        /** It is whole if the replica closed the connection on purpose. */
        WHOLE_UNLESS_CRASHED
    }

    /**
     * An answer that was lost, or may have been.
     *
     * @param suspects parts that may be the cause if the replica has crashed
     * @param parts all parts of the request's prompt
     * @param own the part that belongs to the request or its session alone; a crash shows less of
     *     it, as few requests clear it
     */
    public record Loss(
            Fingerprint request,
            List<PromptPartId> suspects,
            List<PromptPartId> parts,
            Optional<PromptPartId> own,
            Progress progress,
            long sentAtNanos) {
        private boolean isOwn(PromptPartId part) {
            return own.filter(part::equals).isPresent();
        }
    }

    private record Suspicion(Loss loss, ReplicaEntry replica, long atNanos) {
        boolean isOf(ReplicaEntry other) {
            return replica.id().equals(other.id());
        }
    }

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
     * Records that the response to a request was lost before its body.
     *
     * @param parts prompt parts that may be the cause
     */
    public void onResponseLost(
            Fingerprint request, List<PromptPartId> parts, ReplicaEntry replica, long nowNanos) {
        var loss = new Loss(request, parts, parts, Optional.empty(), Progress.NOTHING, nowNanos);
        onLoss(loss, replica, nowNanos);
    }

    /** Records that an answer was lost, or may have been, with its connection. */
    public void onLoss(Loss loss, ReplicaEntry replica, long nowNanos) {
        if (mSuspicions.size() < MAX_SUSPICIONS) {
            mSuspicions.add(new Suspicion(loss, replica, nowNanos));
        } else {
            mListener.onSuspicionEnded(loss, replica, Outcome.NOT_KEPT);
        }
    }

    /** Returns whether it is still open if the replica crashed with one of its requests. */
    public boolean isSuspected(ReplicaEntry replica, long nowNanos) {
        return mSuspicions.stream().anyMatch(s -> s.isOf(replica) && !isExpired(s, nowNanos));
    }

    /**
     * Records that a replica processes something that was sent to it at the given time. Suspicions
     * from before that time are dropped.
     */
    public void onReplicaAlive(ReplicaEntry replica, long sentAtNanos) {
        Predicate<Suspicion> earlier = s -> sentAtNanos - s.atNanos() > 0;
        take(replica, earlier).forEach(dropped -> onAlive(dropped, sentAtNanos));
    }

    /** Records that a replica accepts connections; answers that ended with theirs are whole. */
    public void onReachable(ReplicaEntry replica, long nowNanos) {
        Predicate<Suspicion> ended = s -> s.loss().progress() == Progress.WHOLE_UNLESS_CRASHED;
        take(replica, ended).forEach(dropped -> onAlive(dropped, nowNanos));
    }

    private void onAlive(Suspicion suspicion, long nowNanos) {
        onEnded(suspicion, Outcome.REPLICA_ALIVE);
        if (suspicion.loss().progress() == Progress.WHOLE_UNLESS_CRASHED) {
            onSucceeded(suspicion.loss().request());
            onPartsAnswered(suspicion.loss().parts(), suspicion.loss().sentAtNanos(), nowNanos);
        }
    }

    /**
     * Records that a replica refuses connections; this confirms the suspicions against its
     * requests.
     */
    public void onUnreachable(ReplicaEntry replica, long nowNanos) {
        confirm(take(replica, suspicion -> true), nowNanos);
    }

    /**
     * Records that a replica could not be reached although nothing refused the connection; this
     * confirms the suspicions against requests of which nothing had been answered.
     */
    public void onSilent(ReplicaEntry replica, long nowNanos) {
        confirm(take(replica, s -> s.loss().progress() == Progress.NOTHING), nowNanos);
    }

    private void confirm(List<Suspicion> suspicions, long nowNanos) {
        for (Suspicion suspicion : suspicions) {
            if (isExpired(suspicion, nowNanos)) {
                onEnded(suspicion, Outcome.EXPIRED);
            } else {
                onEnded(suspicion, Outcome.CONFIRMED);
                strike(suspicion, nowNanos);
            }
        }
    }

    private void onEnded(Suspicion suspicion, Outcome outcome) {
        mListener.onSuspicionEnded(suspicion.loss(), suspicion.replica(), outcome);
    }

    /** Removes the suspicions against a replica's requests that fulfil the condition. */
    private List<Suspicion> take(ReplicaEntry replica, Predicate<Suspicion> condition) {
        List<Suspicion> taken =
                mSuspicions.stream().filter(s -> s.isOf(replica) && condition.test(s)).toList();
        mSuspicions.removeAll(taken);
        return taken;
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

    /**
     * Records that a request with these prompt parts has been answered with success.
     *
     * @param sentAtNanos monotonic time at which it was sent; what crashed later may be the parts'
     *     fault
     */
    public void onPartsAnswered(List<PromptPartId> parts, long sentAtNanos, long nowNanos) {
        for (PromptPartId part : parts) {
            for (PartStrike cleared : mPartStrikes.onAnswered(part.hash(), sentAtNanos, nowNanos)) {
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
    public List<PartStrike> partStrikes(long nowNanos) {
        return mPartStrikes.all(nowNanos);
    }

    /** Drops expired suspicions and strikes. */
    public void sweep(long nowNanos) {
        List<Suspicion> expired =
                mSuspicions.stream().filter(suspicion -> isExpired(suspicion, nowNanos)).toList();
        mSuspicions.removeAll(expired);
        expired.forEach(suspicion -> onEnded(suspicion, Outcome.EXPIRED));
        mPoisonTracker.sweep(millis(nowNanos));
        mPartStrikes.sweep(nowNanos);
    }

    private void strike(Suspicion suspicion, long nowNanos) {
        ReplicaEntry replica = suspicion.replica();
        var life = replica.life();
        Fingerprint request = suspicion.loss().request();
        if (onStrike(request, life, nowNanos)) {
            mListener.onStrike(request, life);
        }
        for (PromptPartId part : suspicion.loss().suspects()) {
            var strike = strike(part, suspicion, nowNanos);
            if (!mPartStrikes.isSound(strike.part(), nowNanos)
                    && mPartStrikes.add(strike, nowNanos)) {
                int crashes = mPartStrikes.crashes(strike.part());
                mListener.onPartStrike(strike, Optional.of(part), crashes);
            }
        }
    }

    private static PartStrike strike(PromptPartId part, Suspicion suspicion, long nowNanos) {
        var life = suspicion.replica().life();
        Loss loss = suspicion.loss();
        Duration age = Duration.ofNanos(nowNanos - suspicion.atNanos());
        return switch (loss.progress()) {
            case NOTHING ->
                    loss.isOwn(part)
                            ? PartStrike.ofSession(part.hash(), life, age)
                            : PartStrike.of(part.hash(), life);
            case PART, WHOLE_UNLESS_CRASHED -> PartStrike.inAnswer(part.hash(), life, age);
        };
    }

    private static boolean isExpired(Suspicion suspicion, long nowNanos) {
        return nowNanos - suspicion.atNanos() > SUSPICION_TIME.toNanos();
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }
}
