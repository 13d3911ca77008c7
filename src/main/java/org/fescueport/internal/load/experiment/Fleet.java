package org.fescueport.internal.load.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.admission.PollResult;
import org.fescueport.internal.decision.admission.RefusalReason;
import org.fescueport.internal.decision.gossip.GossipPeers;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaSet;

/** Drives one policy's decisions and the agents' over fakes, on a paused clock. */
final class Fleet {
    static final PoolId POOL = PoolId.of("basin");

    private static final long GOSSIP_PERIOD_NANOS = 250 * VirtualTime.MILLI;
    private static final long REFRESH_NANOS = 250 * VirtualTime.MILLI;
    private static final int GOSSIP_PEERS = 4;
    private static final long FLAP_NANOS = 4 * VirtualTime.SECOND;

    /** The list of replicas from a moment on. */
    private record Listing(long fromNanos, ReplicaSet set) {}

    private final FleetSettings mSettings;
    private final VirtualTime mTime;
    private final Policy mPolicy;
    private final Tally mTally;
    private final Teams mTeams;
    private final Random mRandom;
    private final List<FakeReplica> mReplicas = new ArrayList<>();
    private final Map<NodeId, FakeReplica> mByNode = new HashMap<>();
    private final List<FakeReplica> mLive = new ArrayList<>();
    private final List<Listing> mListings = new ArrayList<>();
    private final Map<Integer, GossipPeers> mPeers = new HashMap<>();
    private final LoadTree mLoads = new LoadTree();
    private int[] mHolders = new int[0];
    private final FakeReplica.Listener mListener;

    Fleet(
            FleetSettings settings,
            VirtualTime time,
            Policy policy,
            Teams teams,
            Tally tally,
            long seed) {
        mSettings = settings;
        mTime = time;
        mPolicy = policy;
        mTeams = teams;
        mTally = tally;
        mRandom = new Random(seed);
        mListener = new Outcomes();
        for (int i = 0; i < settings.replicas(); i++) {
            add();
        }
        publishList();
        time.every(REFRESH_NANOS, () -> mLive.forEach(FakeReplica::update));
        time.every(GOSSIP_PERIOD_NANOS, this::gossip);
    }

    FleetSettings settings() {
        return mSettings;
    }

    Teams teams() {
        return mTeams;
    }

    long now() {
        return mTime.now();
    }

    List<FakeReplica> live() {
        return mLive;
    }

    FakeReplica replica(int number) {
        return mReplicas.get(number);
    }

    FakeReplica replica(NodeId node) {
        return mByNode.get(node);
    }

    /** Returns the replica that served the chat last, or that got it handed over; or null. */
    FakeReplica holderOf(int chat) {
        int number = chat < mHolders.length ? mHolders[chat] : 0;
        return number == 0 ? null : mReplicas.get(number - 1);
    }

    void setHolder(int chat, FakeReplica replica) {
        if (chat >= mHolders.length) {
            mHolders = Arrays.copyOf(mHolders, Math.max(2 * mHolders.length, chat + 1));
        }
        mHolders[chat] = replica.mNumber + 1;
    }

    /** Returns the least loaded live replica, by loads of at most a quarter of a second ago. */
    FakeReplica leastLoaded() {
        return mReplicas.get(mLoads.least());
    }

    boolean admits(FakeReplica replica, Job job) {
        replica.update();
        return mSettings
                .bound()
                .admits(
                        replica.loadTokens(),
                        replica.workOf(job).loadTokens(),
                        replica.mQueue.load().meanTokens());
    }

    /** Returns the list as this router has it, which may be some seconds old. */
    ReplicaSet viewOf(int router) {
        long lag = mSettings.listLagNanos() * (router % 16) / 15;
        int last = mListings.size() - 1;
        while (last > 0 && mListings.get(last).fromNanos() > mTime.now() - lag) {
            last--;
        }
        return mListings.get(last).set();
    }

    /** Whether a flapping list shows this replica to this router now. */
    boolean isListed(int router, NodeId node) {
        if (mSettings.flapShare() == 0) {
            return true;
        }
        long epoch = mTime.now() / FLAP_NANOS;
        var draw = new Random(31 * (31 * epoch + router) + node.name().hashCode());
        draw.nextInt();
        return draw.nextDouble() >= mSettings.flapShare();
    }

    /** A replica dies without a word; another VM takes its place after a while. */
    void fail(int index, long replacedAfterNanos) {
        var replica = mLive.remove(index);
        replica.fail();
        mTime.after(mSettings.listLagNanos(), this::publishList);
        mTime.after(replacedAfterNanos, this::join);
    }

    /** A replica leaves as planned: it hands its chats over, and a new VM takes its place. */
    void replace(int index) {
        var replica = mLive.remove(index);
        replica.fail();
        join();
        if (mPolicy.handsOver()) {
            mTally.onHandover(Handover.run(replica, this));
        }
    }

    /** All replicas of the first failure domain die; the lists of VMs follow late. */
    void loseFirstDomain() {
        for (int i = mLive.size() - 1; i >= 0; i--) {
            if (mLive.get(i).mNumber % mSettings.domains() == 0) {
                mLive.remove(i).fail();
            }
        }
        mTime.after(mSettings.listLagNanos(), this::publishList);
    }

    /** The first failure domain is there again, with its caches, before any list has changed. */
    void returnFirstDomain() {
        for (var replica : mReplicas) {
            if (!replica.mAlive && replica.mNumber % mSettings.domains() == 0) {
                replica.revive();
                mLive.add(replica);
            }
        }
    }

    void join() {
        add();
        publishList();
    }

    /** Runs a job through the policy to its outcome. */
    void submit(Job job) {
        var target = mPolicy.choose(job, this);
        if (target == null) {
            mTally.onRefused(job);
            return;
        }
        var replica = target.replica();
        job.mTried.add(replica.mReplica.node());
        mTally.onAttempt(job);
        if (!replica.mAlive) {
            mTally.onUnreachable();
            mPolicy.onUnreachable(job, replica, this);
            retry(job, false);
            return;
        }
        var holder = target.cacheHolder();
        job.mImportedTokens = holder == null ? 0 : holder.mCache.use(job.mChat);
        var admission = replica.offer(job);
        mPolicy.onAnswer(job, replica, admission, this);
        if (admission instanceof AdmissionDecision.Refused refused) {
            mTally.onRefusal(refused.reason());
            retry(job, true);
        }
    }

    private void retry(Job job, boolean busy) {
        long delay = mPolicy.retryDelayNanos(job, busy, this);
        if (delay < 0) {
            mTally.onRefused(job);
            return;
        }
        job.nextAttempt();
        if (delay == 0) {
            submit(job);
        } else {
            mTime.after(delay, () -> submit(job));
        }
    }

    private void add() {
        var replica = new FakeReplica(mReplicas.size(), mSettings, mTime, mListener);
        mReplicas.add(replica);
        mByNode.put(replica.mReplica.node(), replica);
        mLive.add(replica);
        mLoads.set(replica.mNumber, 0);
    }

    private void publishList() {
        var replicas = new ArrayList<Replica>();
        mLive.forEach(replica -> replicas.add(replica.mReplica));
        mListings.add(new Listing(mTime.now(), ReplicaSet.of(POOL, replicas)));
        long oldest = mTime.now() - mSettings.listLagNanos();
        while (mListings.size() > 1 && mListings.get(1).fromNanos() <= oldest) {
            mListings.removeFirst();
        }
        mPeers.clear();
    }

    private void gossip() {
        if (!mPolicy.isBounded()) {
            return;
        }
        if (mPolicy.knowsMean()) {
            double mean = mLive.stream().mapToLong(FakeReplica::loadTokens).average().orElse(0);
            mLive.forEach(replica -> replica.mQueue.setPoolMeanTokens(Math.round(mean)));
            return;
        }
        for (var replica : mLive) {
            replica.mMean.beginRound(replica.loadTokens());
        }
        for (var replica : mLive) {
            exchange(replica);
            replica.mQueue.setPoolMeanTokens(Math.round(replica.mMean.poolMean()));
        }
    }

    private void exchange(FakeReplica replica) {
        var set = mListings.getLast().set();
        var node = replica.mReplica.node();
        var peers =
                mPeers.computeIfAbsent(
                        replica.mNumber, key -> GossipPeers.of(set, node, GOSSIP_PEERS));
        var peer = peers.next();
        if (peer == null || !replica(peer.node()).mAlive) {
            return;
        }
        double told = replica.mMean.estimateToSend();
        double answer = replica(peer.node()).mMean.respond(told);
        replica.mMean.onReply(told, answer);
    }

    /** Takes what becomes of jobs at the replicas. */
    private final class Outcomes implements FakeReplica.Listener {
        @Override
        public void onFinished(Job job, FakeReplica replica) {
            if (replica.mAlive) {
                setHolder(job.mChat, replica);
            }
            mTally.onFinished(job, replica, mTime.now());
        }

        @Override
        public void onLoad(FakeReplica replica) {
            long tokens = replica.mAlive ? replica.loadTokens() : LoadTree.GONE;
            mLoads.set(replica.mNumber, tokens);
        }

        @Override
        public void onGivenUp(Job job, PollResult.Dropped givenUp, long lateNanos) {
            mTally.onGivenUp(givenUp, lateNanos);
            if (givenUp.reason() == RefusalReason.DISPLACED) {
                retry(job, true);
            } else {
                mTally.onRefused(job);
            }
        }
    }

    Random random() {
        return mRandom;
    }
}
