package org.fescueport.internal.log.config;

import io.micrometer.core.instrument.MockClock;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.testing.FakeLogService;
import org.jmock.lib.concurrent.DeterministicScheduler;

/** Followers on one log that can ask each other, on a clock that tests advance. */
final class Nodes {
    static final int STEP_MILLIS = 100;

    final MockClock mClock = new MockClock();
    final DeterministicScheduler mScheduler = new DeterministicScheduler();
    final FakeLogService mLog;
    final FakeLogService mPublishersLog;
    final List<Node> mNodes = new ArrayList<>();
    private int mStarted;

    Nodes(long seed) {
        mLog = FakeLogService.create(mClock, mScheduler, seed);
        mPublishersLog = mLog.view();
    }

    /** One node; restarting it forgets everything. */
    final class Node implements ConfigPeers {
        final Peer mSelf;
        final FakeLogService mView = mLog.view();
        ConfigFollower mFollower;
        boolean mIsolated;

        /** Routers ask agents, and nobody asks routers. */
        boolean mIsRouter;

        Node(int number, int domains) {
            mSelf =
                    new Peer(
                            NodeId.of("node-" + number),
                            FailureDomain.of("fd-" + number % domains));
            restart();
        }

        void restart() {
            if (mFollower != null) {
                mFollower.close();
            }
            var registry = new SimpleMeterRegistry();
            var settings = FollowerSettings.DEFAULT;
            mFollower =
                    ConfigFollower.create(
                            mView, this, mScheduler, mClock, registry, settings, mStarted++);
            mFollower.start();
        }

        @Override
        public List<Peer> peers() {
            return mNodes.stream()
                    .filter(node -> node != this && !node.mIsRouter)
                    .map(node -> node.mSelf)
                    .toList();
        }

        @Override
        public CompletableFuture<byte[]> recordsFrom(Peer peer, long offset) {
            var other = find(peer);
            if (mIsolated || other.mIsolated) {
                return CompletableFuture.failedFuture(new IllegalStateException("cut off"));
            }
            return CompletableFuture.completedFuture(other.mFollower.recordsFrom(offset));
        }

        @Override
        public void offer(Peer peer, byte[] records) {
            var other = find(peer);
            if (!mIsolated && !other.mIsolated) {
                other.mFollower.offerFromPeer(records);
            }
        }

        private Node find(Peer peer) {
            return mNodes.stream().filter(node -> node.mSelf.equals(peer)).findFirst().get();
        }
    }

    Nodes start(int count, int domains) {
        for (var i = 0; i < count; i++) {
            mNodes.add(new Node(mNodes.size(), domains));
        }
        return this;
    }

    void advance(long millis) {
        for (var at = 0; at < millis; at += STEP_MILLIS) {
            mClock.add(STEP_MILLIS, TimeUnit.MILLISECONDS);
            mScheduler.tick(STEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    ConfigPublisher publisher(String name, long seed) {
        var random = new java.util.Random(seed);
        return ConfigPublisher.create(
                mLog.view(), name, () -> new java.util.UUID(random.nextLong(), random.nextLong()));
    }
}
