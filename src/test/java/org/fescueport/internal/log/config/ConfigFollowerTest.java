package org.fescueport.internal.log.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.ConfigRecords;
import org.fescueport.internal.decision.config.Verdict;
import org.fescueport.internal.decision.lease.LeaseHolder;
import org.fescueport.internal.log.StreamTail;
import org.fescueport.internal.log.config.ConfigFollower.Currency;
import org.fescueport.internal.log.lease.LeaseKeeper;
import org.fescueport.port.LogService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigFollowerTest {
    private static final long RETENTION_MILLIS = 600_000;
    private static final long IN_FORCE_MILLIS = 6_000;

    private final Nodes mNodes = new Nodes(7);

    @Test
    void shouldPutAChangeInForceOnEveryNode() {
        mNodes.start(8, 3).advance(3_000);
        var heard = new ArrayList<Long>();
        mNodes.mNodes.getFirst().mFollower.addListener(next -> heard.add(next.version()));
        var version = publish(1);
        mNodes.advance(IN_FORCE_MILLIS);
        assertThat(versions(), everyItem(is(version)));
        assertThat(heard, is(List.of(version)));
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 60, 300})
    void shouldSpreadFromOneNodeWhileTheLogIsDown(int count) {
        mNodes.start(count, 4).advance(3_000);
        var version = publish(1);
        mNodes.mNodes.stream().skip(1).forEach(node -> node.mView.setDown(true));
        mNodes.advance(2_000);
        mNodes.mNodes.getFirst().mView.setDown(true);
        mNodes.advance(IN_FORCE_MILLIS - 2_000);
        assertThat(versions(), everyItem(is(version)));
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 60, 300})
    void shouldSpreadFromARouterThatNobodyAsksWhileTheLogIsDown(int count) {
        mNodes.start(count, 4);
        mNodes.mNodes.subList(0, count / 2).forEach(node -> node.mIsRouter = true);
        mNodes.advance(3_000);
        var version = publish(1);
        mNodes.mNodes.stream().skip(1).forEach(node -> node.mView.setDown(true));
        mNodes.advance(2_000);
        mNodes.mNodes.getFirst().mView.setDown(true);
        mNodes.advance(IN_FORCE_MILLIS - 2_000);
        assertThat(versions(), everyItem(is(version)));
    }

    @Test
    void shouldAskAPeerThatSaysItIsAhead() {
        mNodes.start(2, 2).advance(3_000);
        var behind = mNodes.mNodes.get(1);
        behind.mView.setDown(true);
        var version = publish(1);
        mNodes.mNodes
                .getFirst()
                .mFollower
                .onPeerVersion(behind.mSelf.node(), behind.mSelf.domain(), 0);
        mNodes.advance(1_600);
        var ahead = mNodes.mNodes.getFirst().mSelf;
        behind.mFollower.onPeerVersion(ahead.node(), ahead.domain(), version);
        assertThat(behind.mFollower.version(), is(version));
    }

    @Test
    void shouldStayCurrentByPeersInAnOutageUnlessCutOffFromThemToo() {
        mNodes.start(6, 3).advance(3_000);
        publish(1);
        mNodes.advance(3_000);
        mNodes.mNodes.forEach(node -> node.mView.setDown(true));
        var lonely = mNodes.mNodes.getFirst();
        lonely.mIsolated = true;
        mNodes.advance(60_000);
        assertThat(lonely.mFollower.isCurrent(), is(false));
        assertThat(lonely.mFollower.ageMillis(), greaterThan(60_000L));
        assertThat(mNodes.mNodes.get(1).mFollower.currency(), is(Currency.BY_PEERS));
        lonely.mView.setDown(false);
        mNodes.advance(1_000);
        assertThat(lonely.mFollower.currency(), is(Currency.BY_LOG));
        assertThat(lonely.mFollower.ageMillis(), lessThanOrEqualTo(1_000L));
    }

    @Test
    void shouldStartAFreshNodeFromPeersInSeveralDomainsDuringAnOutage() {
        mNodes.start(6, 3).advance(3_000);
        var version = publish(1);
        mNodes.advance(3_000);
        mNodes.mNodes.forEach(node -> node.mView.setDown(true));
        mNodes.mNodes.getFirst().restart();
        assertThat(mNodes.mNodes.getFirst().mFollower.isCurrent(), is(false));
        mNodes.advance(3_000);
        assertThat(mNodes.mNodes.getFirst().mFollower.version(), is(version));
        assertThat(mNodes.mNodes.getFirst().mFollower.isCurrent(), is(true));
    }

    @Test
    void shouldNotLetFreshNodesCallEachOtherCurrent() {
        mNodes.mLog.setDown(true);
        mNodes.start(6, 3).mNodes.forEach(node -> node.mView.setDown(true));
        mNodes.advance(30_000);
        var current = mNodes.mNodes.stream().map(node -> node.mFollower.isCurrent()).toList();
        assertThat(current, everyItem(is(false)));
    }

    @Test
    void shouldStartFromASnapshotWhenOlderRecordsAreGone() {
        mNodes.start(1, 1).advance(1_000);
        publish(1);
        publish(2);
        mNodes.advance(2_000);
        var writer =
                SnapshotWriter.create(
                        mNodes.mLog, mNodes.mNodes.getFirst().mFollower, mNodes.mClock, 60_000);
        assertThat(writer.writeIfDue().join(), is(true));
        var version = publish(3);
        mNodes.advance(2_000);
        assertThat(writer.writeIfDue().join(), is(false));
        mNodes.mLog.dropBefore("config", version - 1);
        mNodes.start(1, 1).advance(2_000);
        var fresh = mNodes.mNodes.get(1).mFollower;
        var old = mNodes.mNodes.getFirst().mFollower;
        assertThat(fresh.version(), is(version));
        assertThat(fresh.snapshot(), is(old.snapshot()));
    }

    @Test
    void shouldWriteASnapshotOnceWhileTheLeaseIsHeld() {
        mNodes.start(2, 2).advance(1_000);
        publish(1);
        for (var node : mNodes.mNodes) {
            var holder = LeaseHolder.of(node.mSelf.node(), 1);
            var keeper =
                    LeaseKeeper.create(
                            mNodes.mLog,
                            holder,
                            mNodes.mScheduler,
                            mNodes.mClock,
                            new SimpleMeterRegistry(),
                            LeaseKeeper.Settings.of(RETENTION_MILLIS));
            keeper.start();
            SnapshotDuty.start(
                            keeper,
                            mNodes.mLog,
                            node.mFollower,
                            mNodes.mScheduler,
                            mNodes.mClock,
                            RETENTION_MILLIS)
                    .setCandidate(true);
        }
        mNodes.advance(30_000);
        var snapshots =
                mNodes.mLog.kept("config").stream()
                        .filter(e -> ConfigCodec.decode(e.data()) instanceof ConfigRecord.Snapshot)
                        .count();
        assertThat(snapshots, is(1L));
    }

    @Test
    void shouldNotBeCurrentWhenRecordsAreGoneAndNoSnapshotCoversThem() {
        mNodes.start(1, 1).advance(1_000);
        publish(1);
        var version = publish(2);
        mNodes.advance(2_000);
        mNodes.mLog.dropBefore("config", version);
        mNodes.start(1, 1);
        var fresh = mNodes.mNodes.get(1);
        fresh.mIsolated = true;
        mNodes.advance(10_000);
        assertThat(fresh.mFollower.isCurrent(), is(false));
        assertThat(mNodes.mNodes.getFirst().mFollower.isCurrent(), is(true));
        fresh.mIsolated = false;
        mNodes.advance(2_000);
        assertThat(fresh.mFollower.version(), is(version));
        assertThat(fresh.mFollower.currency(), is(Currency.BY_LOG));
    }

    @Test
    void shouldBeCurrentOnAnEmptyLogWhoseFirstOffsetIsOne() {
        var tail = new ConfigTail((entry, record, verdict) -> {});
        assertThat(tail.take(new LogService.Page(List.of(), 1, 1)), is(StreamTail.Step.CAUGHT_UP));
        assertThat(tail.fold().position(), is(1L));
    }

    @Test
    void shouldGiveUpASlowReadAndAskPeers() {
        mNodes.start(3, 3).advance(3_000);
        mNodes.mNodes.get(2).mView.setDelayMillis(600_000);
        var version = publish(1);
        mNodes.advance(IN_FORCE_MILLIS);
        assertThat(versions(), everyItem(is(version)));
    }

    @Test
    void shouldNotSayCurrentAfterARecordOfANewerRelease() {
        mNodes.start(1, 1).advance(2_000);
        var newer =
                org.fescueport.internal.wire.generated.ConfigRecord.newBuilder()
                        .setFormat(3)
                        .build();
        mNodes.mLog.append("config", List.of(newer.toByteArray()));
        mNodes.advance(2_000);
        assertThat(mNodes.mNodes.getFirst().mFollower.isCurrent(), is(false));
    }

    private long publish(int replicas) {
        var publisher = mNodes.publisher("tests", replicas);
        publisher.catchUp().join();
        var change = publisher.change(ConfigRecords.model("notes", replicas));
        var result = publisher.publish(List.of(change)).join().getFirst();
        return ((Verdict.Accepted) ((PublishResult.Judged) result).verdict()).version();
    }

    private List<Long> versions() {
        return mNodes.mNodes.stream().map(node -> node.mFollower.version()).toList();
    }
}
