package org.fescueport.internal.direct.peer;

import io.micrometer.core.instrument.Clock;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.relay.RelayTree;
import org.fescueport.internal.direct.state.NodeEntry;

/** The nodes that this one may rely on, in order of preference. */
final class Candidates {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(800);
    private static final int MAX_DOUBLINGS = 4;

    /** The address of a node. */
    record Candidate(InetSocketAddress address) {}

    private static final class Tries {
        private int mFailures;
        private long mNotBeforeNanos;
    }

    private final Clock mClock;
    private final Map<Candidate, Tries> mTries = new HashMap<>();
    private List<Candidate> mMembers = List.of();
    private List<Candidate> mSeeds = List.of();

    Candidates(Clock clock) {
        mClock = clock;
    }

    void onSeeds(List<InetSocketAddress> seeds) {
        mSeeds = seeds.stream().map(Candidate::new).toList();
    }

    /**
     * Sets the nodes that started before this one.
     *
     * @param own failure domain of this node
     */
    void onMembers(List<NodeEntry> earlier, FailureDomain own) {
        List<NodeEntry> sorted = new ArrayList<>(earlier);
        sorted.sort(Comparator.comparing(NodeEntry::rank));
        mMembers =
                RelayTree.sources(sorted, NodeEntry::domain, own).stream()
                        .map(entry -> new Candidate(entry.address()))
                        .distinct()
                        .toList();
    }

    int size() {
        return mMembers.size();
    }

    /**
     * Returns the next node to try that is preferred to the connected one; empty if all of those
     * were tried a short while ago.
     *
     * @param seeds whether seeds may be used too, because the store does not answer
     */
    Optional<Candidate> next(Optional<Candidate> connected, boolean seeds) {
        for (var member : mMembers) {
            if (connected.filter(member::equals).isPresent()) {
                return Optional.empty();
            }
            if (isDue(member)) {
                return Optional.of(member);
            }
        }
        if (!seeds) {
            return Optional.empty();
        }
        return mSeeds.stream().filter(this::isDue).findFirst();
    }

    void onFailed(Candidate candidate) {
        pause(candidate);
    }

    /** Delays the next attempt, in case the connection does not last. */
    void onConnected(Candidate candidate) {
        pause(candidate);
    }

    /** Removes a node that has restarted, and therefore ranks after this one. */
    void onLaterLife(Candidate candidate) {
        mMembers = mMembers.stream().filter(member -> !member.equals(candidate)).toList();
    }

    private void pause(Candidate candidate) {
        Tries tries = mTries.computeIfAbsent(candidate, key -> new Tries());
        int doublings = Math.min(tries.mFailures, MAX_DOUBLINGS);
        tries.mFailures++;
        tries.mNotBeforeNanos =
                mClock.monotonicTime() + FIRST_PAUSE.multipliedBy(1L << doublings).toNanos();
    }

    private boolean isDue(Candidate candidate) {
        Tries tries = mTries.get(candidate);
        return tries == null || mClock.monotonicTime() - tries.mNotBeforeNanos >= 0;
    }
}
