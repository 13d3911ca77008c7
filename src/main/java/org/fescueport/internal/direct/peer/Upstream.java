package org.fescueport.internal.direct.peer;

import io.micrometer.core.instrument.Clock;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.state.NodeEntry;
import org.fescueport.internal.direct.state.StorePosition;

/**
 * The connection to the node that this one gets records from: the first one, in the order of {@link
 * Candidates}, that answers.
 *
 * <p>A node in use is replaced when one that comes before it in that order answers again. Used by
 * the event loop alone.
 */
final class Upstream {
    static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /**
     * Age of the last pulse from which this node reads the store itself. A little more than the
     * interval of the reads, and less than the time within which a leaving replica is noticed.
     */
    private static final Duration PULSE_TIMEOUT = Duration.ofMillis(1_250);

    /**
     * Addition to the pulse timeout for each node that relays the pulse, so that when pulses stop,
     * a node that relays them takes over before the nodes below it do.
     */
    private static final Duration TIMEOUT_PER_RELAY = Duration.ofMillis(100);

    /** A connection without a pulse for so long may have been lost without a reset. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2_500);

    private static final Duration FIRST_REREAD_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_REREAD_DELAY = Duration.ofSeconds(16);

    /** What this connection needs of the group of peers. */
    interface Group {
        /** Connects to a node; {@code done} receives whether the connection was established. */
        void connect(InetSocketAddress address, PeerConnection connection, Consumer<Boolean> done);

        /** Returns a handler for a connection that this node opens. */
        PeerConnection newConnection();

        /** Called when no known node could be relied on for some time. */
        void onCandidatesExhausted();
    }

    /** A connection to a node that has not told its rank yet. */
    private record Trial(
            PeerConnection peer, Candidates.Candidate candidate, long startedAtNanos) {}

    private record Connected(PeerConnection peer, Candidates.Candidate candidate) {}

    private final Group mGroup;
    private final Clock mClock;
    private final EventLog mLog;
    private final Candidates mCandidates;
    private Optional<Connected> mConnected = Optional.empty();
    private Optional<Trial> mTrial = Optional.empty();
    private Optional<StorePosition> mOwnRank = Optional.empty();
    private boolean mConnecting;
    private int mReportedNodes;
    private Duration mRereadDelay = FIRST_REREAD_DELAY;
    private long mRereadDueNanos;

    Upstream(Group group, Clock clock, EventLog log) {
        mGroup = group;
        mClock = clock;
        mLog = log;
        mCandidates = new Candidates(clock);
    }

    /** Adds nodes that may be relied on while the store does not answer. */
    void onSeeds(List<InetSocketAddress> seeds) {
        mCandidates.onSeeds(seeds);
    }

    /**
     * Sets the nodes that this one may rely on.
     *
     * @param rank of this node
     * @param earlier nodes with lower ranks, in any order
     */
    void onMembers(StorePosition rank, FailureDomain domain, List<NodeEntry> earlier) {
        if (mOwnRank.isEmpty()) {
            mRereadDueNanos = mClock.monotonicTime() + mRereadDelay.toNanos();
        }
        mOwnRank = Optional.of(rank);
        mCandidates.onMembers(earlier, domain);
    }

    /** Returns the rank of this node; empty until its record has been written. */
    Optional<StorePosition> ownRank() {
        return mOwnRank;
    }

    /** Returns the number of earlier nodes that this one knows of, including lost ones. */
    int candidates() {
        return mCandidates.size();
    }

    /** Returns whether this node relies on the node behind the connection. */
    boolean isConnectedTo(PeerConnection peer) {
        return mConnected.filter(connected -> connected.peer() == peer).isPresent();
    }

    /** Returns whether a node that started earlier provides the records of the store in time. */
    boolean isServing() {
        long now = mClock.monotonicTime();
        return mConnected
                .map(Connected::peer)
                .filter(peer -> precedes(peer) && peer.isReading(now, pulseTimeout(peer)))
                .isPresent();
    }

    private static Duration pulseTimeout(PeerConnection peer) {
        return PULSE_TIMEOUT.plus(TIMEOUT_PER_RELAY.multipliedBy(peer.relays()));
    }

    /**
     * Closes the connection if it is of no use any more, and looks for a better one.
     *
     * @param storeAnswers whether this node can do without its peers
     */
    void tick(boolean storeAnswers) {
        long now = mClock.monotonicTime();
        mConnected
                .map(Connected::peer)
                .filter(peer -> isUseless(peer, storeAnswers, now))
                .ifPresent(PeerConnection::close);
        mTrial.filter(trial -> now - trial.startedAtNanos() > CONNECT_TIMEOUT.toNanos())
                .ifPresent(trial -> endTrial(trial, storeAnswers));
        if (!mConnecting && mTrial.isEmpty()) {
            boolean seeds = !storeAnswers && mConnected.isEmpty();
            mCandidates.next(mConnected.map(Connected::candidate), seeds).ifPresent(this::connect);
        }
        requestReread(now);
    }

    /**
     * Requests the list of nodes again while none of them can be relied on. After a loss of all
     * nodes the first list consists of nodes that have not started again yet.
     */
    private void requestReread(long nowNanos) {
        if (mConnected.isPresent() || mOwnRank.isEmpty() || mCandidates.size() == 0) {
            mRereadDelay = FIRST_REREAD_DELAY;
            mRereadDueNanos = nowNanos + mRereadDelay.toNanos();
        } else if (nowNanos - mRereadDueNanos >= 0) {
            Duration doubled = mRereadDelay.multipliedBy(2);
            mRereadDelay = doubled.compareTo(MAX_REREAD_DELAY) > 0 ? MAX_REREAD_DELAY : doubled;
            mRereadDueNanos = nowNanos + mRereadDelay.toNanos();
            mGroup.onCandidatesExhausted();
        }
    }

    /**
     * Called when a node has told its rank. Relies on it from now on if it started before this one.
     * A node that has started again since its record was read comes later, and is not tried again.
     */
    void onHello(PeerConnection peer) {
        Optional<Trial> trial = mTrial.filter(t -> t.peer() == peer);
        if (trial.isEmpty()) {
            return;
        }
        if (precedes(peer)) {
            promote(trial.get());
        } else if (mOwnRank.isPresent() && peer.rank().isPresent()) {
            mCandidates.onLaterLife(trial.get().candidate());
        }
    }

    void onClosed(PeerConnection peer) {
        mTrial = mTrial.filter(trial -> trial.peer() != peer);
        if (isConnectedTo(peer)) {
            mLog.change("peer-lost").with("peer", peer.name()).write();
            mConnected = Optional.empty();
        }
    }

    /**
     * Tells the node in use how many nodes get their records through this one, if the number has
     * changed.
     */
    void reportNodes(int nodes) {
        if (mConnected.isPresent() && mReportedNodes != nodes) {
            mReportedNodes = nodes;
            mConnected.get().peer().sendSubtree(nodes);
        }
    }

    private boolean isUseless(PeerConnection peer, boolean storeAnswers, long nowNanos) {
        boolean silent = peer.silentNanos(nowNanos) > SILENCE_TIMEOUT.toNanos();
        boolean later = peer.hello().isPresent() && !precedes(peer);
        return silent || (storeAnswers && later);
    }

    /** Two nodes never rely on each other, as only one of them started before the other. */
    private boolean precedes(PeerConnection peer) {
        return peer.rank().filter(this::isBeforeOwn).isPresent();
    }

    private boolean isBeforeOwn(StorePosition rank) {
        return mOwnRank.map(rank::isBefore).orElse(true);
    }

    private void connect(Candidates.Candidate candidate) {
        mConnecting = true;
        PeerConnection peer = mGroup.newConnection();
        mGroup.connect(
                candidate.address(),
                peer,
                connected -> {
                    mConnecting = false;
                    if (connected) {
                        mCandidates.onConnected(candidate);
                        mTrial = Optional.of(new Trial(peer, candidate, mClock.monotonicTime()));
                    } else {
                        mCandidates.onFailed(candidate);
                    }
                });
    }

    private void promote(Trial trial) {
        mTrial = Optional.empty();
        Optional<Connected> former = mConnected;
        mConnected = Optional.of(new Connected(trial.peer(), trial.candidate()));
        mReportedNodes = 1;
        former.map(Connected::peer).ifPresent(PeerConnection::close);
        mLog.change("peer-connected").with("address", trial.candidate().address()).write();
    }

    /** Keeps a node that started later only while no other one is known. */
    private void endTrial(Trial trial, boolean storeAnswers) {
        if (storeAnswers || mConnected.isPresent()) {
            trial.peer().close();
        } else {
            promote(trial);
        }
    }
}
