package org.fescueport.internal.decision.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.AfterContainer;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.order.OrderDecision;
import org.fescueport.internal.decision.order.OrderGuard;

/**
 * Guards against two nodes that hold a lease at the same time, and against orders that are run
 * although a later holder has taken over. Simulates three nodes with random pauses, with late and
 * lost appends, and with clocks that run up to 200 ppm fast or slow.
 */
class LeaseScheduleTest {
    private static final String LEASE = "placement";
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int STEP_MILLIS = 50;
    private static final int RUN_MILLIS = 120_000;

    /** How long {@link OrderGuard} relies on a token that it has confirmed. */
    private static final long CONFIRMED_MILLIS = 2_000;

    private static final double MAX_DRIFT = 200e-6;

    private static long sTerms;

    @Property(tries = 2_000, seed = "20261203")
    void shouldNeverHaveTwoHoldersOrRunStaleOrders(
            @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        var simulation = new Simulation(new Random(seed));
        for (var now = 0; now < RUN_MILLIS; now += STEP_MILLIS) {
            simulation.step(now);
        }
        sTerms += simulation.mTerms;
    }

    @AfterContainer
    static void shouldHaveChangedHoldersOften() {
        assertThat(sTerms, greaterThan(2_000L));
    }

    /** An order or a claim that is delivered at {@code atMillis}. */
    private record Message(long atMillis, Node from, LeaseRecord.Claim claim, long token) {}

    private static final class Simulation {
        final Random mRandom;
        final double mLogClockRate;
        final LeaseFold mFold = LeaseFold.empty();
        final List<Node> mNodes = new ArrayList<>();
        final List<Message> mAppends = new ArrayList<>();
        final List<Message> mOrders = new ArrayList<>();
        final List<LogEntry> mLog = new ArrayList<>();
        final OrderGuard mGuard = OrderGuard.create(false);
        final TreeMap<Long, Long> mTokenByStartMillis = new TreeMap<>(Map.of(0L, 0L));
        long mLastRunToken;
        long mTerms;
        long mAgentPausedUntil;

        Simulation(Random random) {
            mRandom = random;
            mLogClockRate = clockRate();
            for (var i = 0; i < 3; i++) {
                mNodes.add(new Node(i, this));
            }
        }

        double clockRate() {
            return 1 + MAX_DRIFT * (2 * mRandom.nextDouble() - 1);
        }

        void step(long now) {
            deliverAppends(now);
            for (var node : mNodes) {
                node.step(now);
            }
            var holders = mNodes.stream().filter(node -> node.token(now).isPresent()).count();
            assertThat("holders at " + now, holders, lessThanOrEqualTo(1L));
            agent(now);
        }

        void deliverAppends(long now) {
            for (var message : List.copyOf(mAppends)) {
                if (message.atMillis() <= now) {
                    mAppends.remove(message);
                    var offset = mLog.size() + 1;
                    var logMillis = (long) (now * mLogClockRate);
                    var before = mFold.lease(LEASE).map(LeaseState::token);
                    var state = mFold.apply(offset, logMillis, message.claim());
                    mLog.add(new LogEntry(message.claim(), state));
                    var token = mFold.lease(LEASE).map(LeaseState::token);
                    mTerms += before.equals(token) ? 0 : 1;
                    token.ifPresent(newest -> mTokenByStartMillis.put(now, newest));
                }
            }
        }

        /** Runs the orders that the agent's guard permits; the engine does not check tokens. */
        void agent(long now) {
            if (now < mAgentPausedUntil) {
                return;
            }
            var nanos = now * NANOS_PER_MILLI;
            mGuard.tick(nanos);
            for (var order : List.copyOf(mOrders)) {
                if (order.atMillis() > now) {
                    continue;
                }
                mOrders.remove(order);
                var decision = mGuard.offer(order.token(), nanos);
                if (decision instanceof OrderDecision.Confirm) {
                    mGuard.confirmed(mFold.lease(LEASE).map(LeaseState::token).orElse(0L), nanos);
                    decision = mGuard.offer(order.token(), nanos);
                }
                if (decision instanceof OrderDecision.Run) {
                    var confirmedToken =
                            mTokenByStartMillis
                                    .floorEntry(Math.max(0, now - CONFIRMED_MILLIS))
                                    .getValue();
                    assertThat(
                            "order run that a confirmed token had superseded",
                            confirmedToken,
                            lessThanOrEqualTo(order.token()));
                    assertThat(
                            "order run after one with a newer token",
                            mLastRunToken,
                            lessThanOrEqualTo(order.token()));
                    mLastRunToken = order.token();
                    mGuard.finished();
                }
            }
            if (mRandom.nextInt(400) == 0) {
                mAgentPausedUntil = now + mRandom.nextInt(30_000);
            }
        }
    }

    private record LogEntry(LeaseRecord.Claim claim, Optional<LeaseState> state) {}

    private static final class Node {
        final Simulation mSimulation;
        final double mClockRate;
        final LeaseHolder mSelf;
        final LeaseTracker mTracker;
        // One node claims without waiting for expiry, as a faulty release of this program might.
        final boolean mIgnoresTiming;
        int mNextLogIndex;
        long mPausedUntil;
        long mPendingOrderToken;
        long mSendOrderAtMillis;

        Node(int number, Simulation simulation) {
            mSimulation = simulation;
            mClockRate = simulation.clockRate();
            mSelf = LeaseHolder.of(NodeId.of("node-" + number), 1);
            mTracker = LeaseTracker.create(mSelf, LeaseTiming.DEFAULT);
            mIgnoresTiming = number == 2;
        }

        long localNanos(long now) {
            return (long) (now * NANOS_PER_MILLI * mClockRate);
        }

        Optional<Long> token(long now) {
            return mTracker.tokenAt(localNanos(now));
        }

        void step(long now) {
            var random = mSimulation.mRandom;
            if (now < mPausedUntil) {
                return;
            }
            if (mPendingOrderToken > 0 && now >= mSendOrderAtMillis) {
                // Sends an order that it decided on in an earlier step. The node may have been
                // paused in between without noticing, and may no longer hold the lease.
                var at = now + random.nextInt(3_000);
                mSimulation.mOrders.add(new Message(at, this, null, mPendingOrderToken));
                mPendingOrderToken = 0;
            }
            if (random.nextInt(4) == 0) {
                read(now);
            }
            token(now)
                    .filter(token -> random.nextInt(10) == 0)
                    .ifPresent(token -> scheduleOrder(token, now));
            var claimsEarly = mIgnoresTiming && random.nextInt(100) == 0;
            if (claimsEarly || (random.nextInt(5) == 0 && mTracker.isClaimDue(localNanos(now)))) {
                claim(now);
            }
            if (random.nextInt(300) == 0) {
                mPausedUntil = now + random.nextInt(40_000);
            }
        }

        void scheduleOrder(long token, long now) {
            mPendingOrderToken = token;
            mSendOrderAtMillis = now + STEP_MILLIS;
        }

        void read(long now) {
            for (; mNextLogIndex < mSimulation.mLog.size(); mNextLogIndex++) {
                var entry = mSimulation.mLog.get(mNextLogIndex);
                var nonce = entry.claim().nonce();
                entry.state().ifPresent(s -> mTracker.onAccepted(nonce, s, localNanos(now)));
            }
        }

        void claim(long now) {
            var random = mSimulation.mRandom;
            var claim = mTracker.claim(LEASE, new UUID(random.nextLong(), random.nextLong()));
            mTracker.beforeAppend(claim.nonce(), localNanos(now));
            if (random.nextInt(10) > 0) {
                var at = now + random.nextInt(random.nextInt(20) == 0 ? 15_000 : 400);
                mSimulation.mAppends.add(new Message(at, this, claim, 0));
            }
        }
    }
}
