package org.fescueport.internal.log.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.claim.ClaimRefusal;
import org.fescueport.internal.decision.claim.ContentHash;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AtMostOnceTest {
    private final ClaimWorld mWorld = new ClaimWorld(1);

    @Test
    void shouldRunOnceAndGiveFirstAnswerToRepeatedKey() {
        String key = mWorld.newKey(0);

        assertThat(send(0, key), instanceOf(KeyVerdict.RunNow.class));
        assertThat(send(1, key), instanceOf(KeyVerdict.AlreadyDone.class));
        assertThat(mWorld.mRuns.get(key), is(1));
    }

    @Test
    void shouldRefuseKeyOfOtherTeamOrContent() {
        String key = mWorld.newKey(0);
        send(0, key);

        KeyVerdict team = mWorld.sendAndWait(1, key, TeamId.of("x"), ClaimWorld.CONTENT);
        KeyVerdict content = mWorld.sendAndWait(1, key, ClaimWorld.TEAM, ContentHash.of(2, 2));

        assertRefused(team, ClaimRefusal.OTHER_TEAM);
        assertRefused(content, ClaimRefusal.OTHER_CONTENT);
    }

    @Test
    void shouldRefuseKeysOutsideWindow() {
        assertRefused(send(0, mWorld.newKey(60_001)), ClaimRefusal.TOO_OLD);
        assertRefused(send(0, mWorld.newKey(-5_000)), ClaimRefusal.FROM_THE_FUTURE);
        assertRefused(send(0, "6ba7b810-9dad-11d1-80b4-00c04fd430c8"), ClaimRefusal.NOT_UUID_V7);
    }

    @Test
    void shouldRefuseAtOnceWhileLogIsDownAndRunAfterwards() {
        String key = mWorld.newKey(0);
        mWorld.mLog.mDown = true;
        assertRefused(send(0, key), ClaimRefusal.LOG_UNAVAILABLE);
        CompletableFuture<KeyVerdict> second =
                mWorld.send(0, key, ClaimWorld.TEAM, ClaimWorld.CONTENT);
        mWorld.step(200);
        assertRefused(second.getNow(null), ClaimRefusal.LOG_UNAVAILABLE);

        mWorld.mLog.mDown = false;
        mWorld.step(1_000);

        assertThat(send(1, key), instanceOf(KeyVerdict.RunNow.class));
        assertThat(mWorld.mRuns.get(key), is(1));
    }

    @Test
    void shouldRefuseWhenLogIsSlowAndFreeTheKeyLater() {
        String key = mWorld.newKey(0);
        mWorld.mLog.mMaxDelayMillis = 1_500;
        KeyVerdict slow = mWorld.sendAndWait(0, key, ClaimWorld.TEAM, ClaimWorld.CONTENT);
        assertThat(slow, instanceOf(KeyVerdict.Refused.class));
        mWorld.mLog.mMaxDelayMillis = 5;
        mWorld.step(6_000);

        assertThat(send(1, key), instanceOf(KeyVerdict.RunNow.class));
        assertThat(mWorld.mRuns.get(key), is(1));
    }

    @Test
    void shouldNotRunAgainWhenHolderIsGone() {
        String key = mWorld.newKey(0);
        CompletableFuture<KeyVerdict> verdict =
                mWorld.send(0, key, ClaimWorld.TEAM, ClaimWorld.CONTENT);
        while (!verdict.isDone()) {
            mWorld.step(1);
        }
        mWorld.kill(0);

        assertThat(send(1, key), instanceOf(KeyVerdict.RunningOrUnknown.class));
    }

    @Test
    void shouldNotStartAfterDeadlineWhenFrozen() {
        String key = mWorld.newKey(0);
        CompletableFuture<KeyVerdict> verdict =
                mWorld.send(0, key, ClaimWorld.TEAM, ClaimWorld.CONTENT);
        while (!verdict.isDone()) {
            mWorld.step(1);
        }
        mWorld.freeze(0, 5_000);
        mWorld.step(8_000);

        assertThat(mWorld.mRuns.containsKey(key), is(false));
        assertThat("given back", send(1, key), instanceOf(KeyVerdict.RunNow.class));
    }

    @Test
    void shouldStartTicketOnlyOnce() {
        String key = mWorld.newKey(0);
        CompletableFuture<KeyVerdict> verdict =
                mWorld.send(0, key, ClaimWorld.TEAM, ClaimWorld.CONTENT);
        while (!verdict.isDone()) {
            mWorld.step(1);
        }
        RunTicket ticket = ((KeyVerdict.RunNow) verdict.join()).ticket();
        AtMostOnce once = mWorld.mAgents.getFirst().mOnce;

        assertThat(once.started(ticket), is(true));
        assertThat(once.started(ticket), is(false));
        assertThrows(Invariants.InvariantViolation.class, () -> once.giveBack(ticket));
    }

    @Test
    void shouldRefuseKeyWhenRecordsOfItsTimeAreGone() {
        String key = mWorld.newKey(0);
        send(0, key);
        String other = mWorld.newKey(0);
        send(0, other);
        for (int i = 0; i < 2; i++) {
            mWorld.mLog.dropOldest("claims-0" + i, Integer.MAX_VALUE);
        }
        for (int i = 0; i < 3; i++) {
            mWorld.kill(i);
        }

        assertRefused(send(1, key), ClaimRefusal.TOO_OLD);
        assertThat(mWorld.mRuns.get(key), is(1));
    }

    @Test
    void shouldAnswerFromLogAfterDroppingIdlePartition() {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            keys.add(mWorld.newKey(0));
            mWorld.send(0, keys.getLast(), ClaimWorld.TEAM, ClaimWorld.CONTENT);
            mWorld.step(20);
        }
        mWorld.step(2_000);

        for (String key : keys.subList(0, 20)) {
            assertThat(send(1, key), instanceOf(KeyVerdict.AlreadyDone.class));
            assertThat(mWorld.mRuns.get(key), is(1));
        }
    }

    @Test
    void shouldBatchClaimsWithinAppendBudget() {
        for (int i = 0; i < 200; i++) {
            mWorld.send(i % 3, mWorld.newKey(0), ClaimWorld.TEAM, ClaimWorld.CONTENT);
        }
        long before = mWorld.mLog.mAppends;
        mWorld.step(1_000);

        // 2 partitions, 3 processes that each may append every 20 ms
        assertThat(mWorld.mRuns.size(), greaterThan(190));
        assertThat(mWorld.mLog.mAppends - before, lessThanOrEqualTo(300L));
    }

    /** Kills, freezes, outages, lost, late and double appends: no key runs twice. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
    void shouldRunNoKeyTwiceUnderRandomFaults(long seed) {
        long violations = Invariants.violations();
        ClaimWorld world = new ClaimWorld(seed);
        Random random = world.mRandom;
        List<String> keys = new ArrayList<>();
        world.mLog.mFaults = 0.3;
        for (int round = 0; round < 800; round++) {
            if (keys.size() < 100 && random.nextInt(4) == 0) {
                keys.add(world.newKey(random.nextInt(500)));
            }
            if (!keys.isEmpty()) {
                String key = keys.get(Math.max(0, keys.size() - 1 - random.nextInt(8)));
                world.send(random.nextInt(3), key, ClaimWorld.TEAM, ClaimWorld.CONTENT);
            }
            disturb(world, random);
            world.step(random.nextInt(40));
        }
        world.mLog.mDown = false;
        world.mLog.mFaults = 0;
        world.mLog.mMaxDelayMillis = 5;
        world.step(8_000);

        for (String key : keys) {
            assertThat(key, world.mRuns.getOrDefault(key, 0), lessThanOrEqualTo(1));
        }
        assertThat(world.mRuns.size(), greaterThan(10));
        assertThat(Invariants.violations(), is(violations));
        String fresh = world.newKey(0);
        assertThat(
                world.sendAndWait(0, fresh, ClaimWorld.TEAM, ClaimWorld.CONTENT),
                instanceOf(KeyVerdict.RunNow.class));
    }

    private static void disturb(ClaimWorld world, Random random) {
        switch (random.nextInt(60)) {
            case 0 -> world.kill(random.nextInt(3));
            case 1 -> world.freeze(random.nextInt(3), random.nextInt(3_000));
            case 2 -> world.mLog.mDown = !world.mLog.mDown;
            case 3 -> world.mLog.mMaxDelayMillis = random.nextInt(300);
            case 4, 5 -> {
                world.mLog.mMaxDelayMillis = 5;
                world.mLog.mDown = false;
            }
            default -> {
                // nothing happens in most rounds
            }
        }
    }

    private KeyVerdict send(int agent, String key) {
        return mWorld.sendAndWait(agent, key, ClaimWorld.TEAM, ClaimWorld.CONTENT);
    }

    private static void assertRefused(KeyVerdict verdict, ClaimRefusal reason) {
        assertThat(verdict, instanceOf(KeyVerdict.Refused.class));
        assertThat(((KeyVerdict.Refused) verdict).reason(), is(reason));
    }
}
