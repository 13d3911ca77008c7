package org.fescueport.internal.direct.peer;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.wire.generated.PeerLoss;
import org.fescueport.internal.wire.generated.PeerLosses;

/**
 * Passes on which replicas have lost answers, at this node and at others.
 *
 * <p>Losses are added up for a short time and sent as one message to each peer, without what came
 * from that peer. A replica is reported only a few times in a period, as more reports change
 * nothing; this also ends reports that come back while connections form a cycle.
 */
final class LossRelay {
    /** Number of losses of one replica that are passed on in a period. */
    private static final int MAX_LOSSES = 6;

    private static final Duration PERIOD = Duration.ofSeconds(2);

    /** Number of replicas of which losses are kept; more lose answers only when a network fails. */
    private static final int MAX_REPLICAS = 256;

    /** Losses of one replica that have been passed on since the start of the period. */
    private static final class Passed {
        private int mLosses;
        private final long mSinceNanos;

        private Passed(long sinceNanos) {
            mSinceNanos = sinceNanos;
        }
    }

    private final Clock mClock;
    private final Map<AgentIncarnation, Passed> mPassed = new LinkedHashMap<>();

    /** Losses that have not been sent yet, by replica and by the peer that reported them. */
    private final Map<AgentIncarnation, Map<Optional<PeerConnection>, Integer>> mPending =
            new LinkedHashMap<>();

    LossRelay(Clock clock) {
        mClock = clock;
    }

    /**
     * Adds losses to those to be sent.
     *
     * @param source peer that reported them; empty for this node
     * @return the number that is passed on
     */
    int add(AgentIncarnation replica, int answers, Optional<PeerConnection> source) {
        long now = mClock.monotonicTime();
        mPassed.values().removeIf(passed -> now - passed.mSinceNanos > PERIOD.toNanos());
        if (mPassed.size() >= MAX_REPLICAS && !mPassed.containsKey(replica)) {
            return 0;
        }
        Passed passed = mPassed.computeIfAbsent(replica, key -> new Passed(now));
        int accepted = Math.clamp(answers, 0, MAX_LOSSES - passed.mLosses);
        if (accepted > 0) {
            passed.mLosses += accepted;
            mPending.computeIfAbsent(replica, key -> new HashMap<>())
                    .merge(source, accepted, Integer::sum);
        }
        return accepted;
    }

    boolean isEmpty() {
        return mPending.isEmpty();
    }

    /** Returns what a peer has not reported itself; empty if there is nothing to send. */
    Optional<PeerLosses> pendingFor(PeerConnection peer) {
        var losses = PeerLosses.newBuilder();
        mPending.forEach(
                (replica, sources) -> {
                    int answers =
                            sources.entrySet().stream()
                                    .filter(e -> e.getKey().filter(s -> s == peer).isEmpty())
                                    .mapToInt(Map.Entry::getValue)
                                    .sum();
                    if (answers > 0) {
                        losses.addReplicas(
                                PeerLoss.newBuilder()
                                        .setReplica(replica.node().name())
                                        .setLife(replica.number())
                                        .setAnswers(answers));
                    }
                });
        return losses.getReplicasCount() == 0 ? Optional.empty() : Optional.of(losses.build());
    }

    void clear() {
        mPending.clear();
    }
}
