package org.fescueport.internal.log.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.ConfigRecords;
import org.fescueport.internal.decision.config.Verdict;
import org.junit.jupiter.api.Test;

/** Random schedules of races, outages, restarts, snapshots and retention; seeds are fixed. */
class ConfigSchedulesTest {
    private static final int SCHEDULES = 10_000;
    private static final int STEPS = 30;
    private static final int BIG_RACE_EVERY = 200;

    @Test
    void shouldNeverRevertInTenThousandSchedules() {
        long accepted = 0;
        long lost = 0;
        for (var seed = 0; seed < SCHEDULES; seed++) {
            var schedule = new Schedule(seed);
            try {
                schedule.run();
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("schedule of seed " + seed, e);
            }
            accepted += schedule.mReference.counts().accepted();
            lost += schedule.mReference.counts().lost();
        }
        assertThat(accepted, greaterThan((long) SCHEDULES));
        assertThat(lost, greaterThan((long) SCHEDULES));
        System.out.printf(
                "%d schedules: %d accepted, %d lost, 0 reversions%n", SCHEDULES, accepted, lost);
    }

    private static final class Schedule {
        final Random mRandom;
        final Nodes mNodes;
        final ConfigFold mReference = ConfigFold.empty();
        final Map<UUID, Verdict> mVerdicts = new HashMap<>();
        final Map<Long, Map<String, ?>> mFilesAtVersion = new HashMap<>();
        final List<ConfigPublisher> mPublishers = new ArrayList<>();
        final List<byte[]> mStaleSnapshots = new ArrayList<>();
        final Map<ConfigFollower, Long> mSeen = new HashMap<>();
        long mSnapshotPosition;

        Schedule(int seed) {
            mRandom = new Random(seed);
            mNodes = new Nodes(seed).start(4, 2);
            var racers = seed % BIG_RACE_EVERY == 0 ? 100 : 2 + mRandom.nextInt(4);
            for (var i = 0; i < racers; i++) {
                mPublishers.add(mNodes.publisher("operator-" + i, seed * 1_000L + i));
            }
        }

        void run() {
            for (var step = 0; step < STEPS; step++) {
                switch (mRandom.nextInt(8)) {
                    case 0, 1, 2 -> race();
                    case 3 -> outage();
                    case 4 -> randomNode().restart();
                    case 5 -> snapshot();
                    case 6 -> retention();
                    default -> mNodes.advance(100 * (1 + mRandom.nextInt(30)));
                }
                check();
            }
            settle();
        }

        Nodes.Node randomNode() {
            return mNodes.mNodes.get(mRandom.nextInt(mNodes.mNodes.size()));
        }

        /** All catch up first, so that those of one file race from the same version. */
        void race() {
            mNodes.mPublishersLog.setLostAnswers(mRandom.nextInt(3) == 0 ? 0.3 : 0);
            mNodes.mPublishersLog.setLostAppends(mRandom.nextInt(3) == 0 ? 0.2 : 0);
            var ready = mPublishers.stream().filter(p -> !p.catchUp().isCompletedExceptionally());
            var changes = new ArrayList<Runnable>();
            for (var publisher : ready.toList()) {
                var file = ConfigRecords.model("m" + mRandom.nextInt(3), 1 + mRandom.nextInt(9));
                var change = publisher.change(file);
                changes.add(() -> publish(publisher, change));
            }
            changes.forEach(Runnable::run);
        }

        void publish(ConfigPublisher publisher, ConfigRecord.Change change) {
            var result = publisher.publish(List.of(change)).join().getFirst();
            follow();
            var truth = mVerdicts.get(change.nonce());
            switch (result) {
                case PublishResult.Judged judged -> assertThat(judged.verdict(), is(truth));
                case PublishResult.NotPublished none -> assertThat(truth, is((Verdict) null));
                case PublishResult.Unknown unknown -> {
                    // Nothing was claimed.
                }
            }
        }

        void outage() {
            var node = randomNode();
            node.mView.setDown(mRandom.nextBoolean());
            node.mIsolated = mRandom.nextInt(4) == 0;
        }

        void snapshot() {
            var follower = randomNode().mFollower;
            var snapshot = follower.snapshot();
            mStaleSnapshots.add(ConfigCodec.encode(snapshot));
            var stale = mRandom.nextBoolean();
            var data =
                    mStaleSnapshots.get(
                            stale
                                    ? mRandom.nextInt(mStaleSnapshots.size())
                                    : mStaleSnapshots.size() - 1);
            mNodes.mLog.append("config", List.of(data));
            if (ConfigCodec.decode(data) instanceof ConfigRecord.Snapshot written) {
                mSnapshotPosition = Math.max(mSnapshotPosition, written.position());
            }
            follow();
        }

        void retention() {
            // Now and then more is lost than the snapshots cover.
            var beyond = mRandom.nextInt(4) == 0;
            var most = beyond ? mReference.position() : mSnapshotPosition;
            mNodes.mLog.dropBefore("config", mRandom.nextLong(most + 1));
        }

        /** Folds what was appended, before retention can drop it. */
        void follow() {
            var page = mNodes.mLog.read("config", mReference.position(), Integer.MAX_VALUE / 2);
            for (var entry : page.join().entries()) {
                var record = ConfigCodec.decode(entry.data());
                var verdict = mReference.apply(entry.offset(), record);
                if (record instanceof ConfigRecord.Change change) {
                    mVerdicts.merge(
                            change.nonce(),
                            verdict,
                            (old, next) -> next instanceof Verdict.Accepted ? next : old);
                }
                mFilesAtVersion.put(mReference.version(), mReference.files());
            }
        }

        void check() {
            follow();
            for (var node : mNodes.mNodes) {
                var follower = node.mFollower;
                var version = follower.version();
                var former = mSeen.put(follower, version);
                assertThat("reversion", former == null ? 0 : former, lessThanOrEqualTo(version));
                var files = mFilesAtVersion.getOrDefault(version, Map.of());
                assertThat(follower.snapshot().files(), is(files));
            }
        }

        void settle() {
            mNodes.mNodes.forEach(node -> node.mView.setDown(false));
            mNodes.mLog.append("config", List.of(ConfigCodec.encode(mReference.snapshot())));
            mNodes.advance(4_000);
            check();
            var versions = mNodes.mNodes.stream().map(node -> node.mFollower.version()).toList();
            var counts = mNodes.mNodes.stream().map(node -> node.mFollower.counts()).toList();
            assertThat(versions, everyItem(is(mReference.version())));
            assertThat(counts, everyItem(is(mReference.counts())));
        }
    }
}
