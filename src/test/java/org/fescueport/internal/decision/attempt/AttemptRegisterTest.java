package org.fescueport.internal.decision.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.RequestId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AttemptRegisterTest {
    private static final long RETENTION_NANOS = 100;
    private static final AttemptId FIRST = AttemptId.of(RequestId.of(1, 1), 1);

    private final AttemptRegister mRegister =
            AttemptRegister.create(new AttemptRegister.Limits(4, 2, RETENTION_NANOS));

    @Test
    void shouldRefuseLateSubmitOfRefusedAttempt() {
        assertThat(refuse(FIRST, 0), is(new RefuseResult.Recorded(RefusalReason.GIVEN_UP)));

        assertThat(submit(FIRST, 1), is(new SubmitResult.Refused(RefusalReason.GIVEN_UP)));
        assertThat(mRegister.start(FIRST, 1), is(false));
    }

    @Test
    void shouldNotStartTwice() {
        submit(FIRST, 0);

        assertThat(mRegister.start(FIRST, 1), is(true));
        assertThat(submit(FIRST, 2), is(new SubmitResult.Duplicate(AttemptState.STARTED)));
        assertThat(mRegister.start(FIRST, 2), is(false));
        assertThat(refuse(FIRST, 3), is(new RefuseResult.AlreadyStarted(AttemptState.STARTED)));
    }

    @Test
    void shouldRefuseStartAfterDeadline() {
        submit(FIRST, 0);
        mRegister.enqueue(FIRST);

        assertThat(mRegister.start(FIRST, 50), is(false));
        assertThat(mRegister.state(FIRST), is(AttemptState.REFUSED));
    }

    @Test
    void shouldSupersedeWaitingOlderAttempt() {
        submit(FIRST, 0);

        assertThat(submit(FIRST.next(), 1), is(new SubmitResult.Accepted(List.of(FIRST))));
        assertThat(mRegister.start(FIRST, 2), is(false));
        assertThat(mRegister.isSuperseded(FIRST), is(true));
    }

    @Test
    void shouldRefuseOlderAttemptThatArrivesLate() {
        submit(FIRST.next(), 0);

        assertThat(submit(FIRST, 1), is(new SubmitResult.Refused(RefusalReason.SUPERSEDED)));
    }

    @Test
    void shouldRefuseSecondAttemptOfStartedUnrepeatableRequest() {
        mRegister.submit(FIRST, false, 50, 0);
        mRegister.start(FIRST, 1);

        SubmitResult second = mRegister.submit(FIRST.next(), false, 50, 2);

        assertThat(second, is(new SubmitResult.Refused(RefusalReason.ALREADY_RUN)));
    }

    @Test
    void shouldRefuseNewWorkInsteadOfEvictingWhenFull() {
        for (int i = 0; i < 4; i++) {
            submit(AttemptId.of(RequestId.of(2, i), 1), 0);
        }

        assertThat(submit(FIRST, 0), is(new SubmitResult.Refused(RefusalReason.REGISTER_FULL)));
        refuse(FIRST.next(), 0);
        assertThat(refuse(FIRST.next().next(), 0), instanceOf(RefuseResult.Unrecorded.class));
        assertThat(mRegister.size(), is(6));
    }

    @Test
    void shouldForgetAfterDeadlineAndRetention() {
        refuse(FIRST, 0);

        mRegister.sweep(50 + RETENTION_NANOS - 1);
        assertThat(mRegister.size(), is(1));
        mRegister.sweep(50 + RETENTION_NANOS);
        assertThat(mRegister.size(), is(0));
    }

    /**
     * Frames arrive delayed, duplicated and in random order. An attempt that was reported as "not
     * run" must never run.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldNeverRunAttemptReportedAsNotRun(long seed) {
        Random random = new Random(seed);
        AttemptRegister register =
                AttemptRegister.create(new AttemptRegister.Limits(40, 20, RETENTION_NANOS));
        Map<AttemptId, Integer> runs = new HashMap<>();
        Set<AttemptId> notRun = new HashSet<>();
        List<AttemptId> ids = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            ids.add(AttemptId.of(RequestId.of(9, i / 3), 1 + i % 3));
        }
        // No frame arrives more than RETENTION_NANOS after the deadline of 50.
        for (long now = 0; now < 50 + RETENTION_NANOS; now += random.nextInt(8) == 0 ? 1 : 0) {
            AttemptId id = ids.get(random.nextInt(ids.size()));
            step(register, random.nextInt(4), id, now, runs, notRun);
            for (AttemptId ran : runs.keySet()) {
                assertThat(
                        "ran after the word \"not run\" was reported: " + ran,
                        notRun.contains(ran),
                        is(false));
            }
        }
        for (int count : runs.values()) {
            assertThat(count, lessThanOrEqualTo(1));
        }
        assertThat(runs.isEmpty(), is(false));
        assertThat(notRun.isEmpty(), is(false));
    }

    private static void step(
            AttemptRegister register,
            int action,
            AttemptId id,
            long now,
            Map<AttemptId, Integer> runs,
            Set<AttemptId> notRun) {
        boolean repeatable = id.request().low() % 2 == 0;
        if (action == 0
                && register.refuse(id, RefusalReason.GIVEN_UP, 50, now)
                        instanceof RefuseResult.Recorded) {
            notRun.add(id);
        } else if (action == 1
                && register.submit(id, repeatable, 50, now) instanceof SubmitResult.Refused) {
            notRun.add(id);
        } else if (action == 2 && register.start(id, now)) {
            runs.merge(id, 1, Integer::sum);
        } else if (action == 3 && register.state(id) == AttemptState.STARTED) {
            register.finish(id, now);
        }
    }

    private SubmitResult submit(AttemptId id, long now) {
        return mRegister.submit(id, true, 50, now);
    }

    private RefuseResult refuse(AttemptId id, long now) {
        return mRegister.refuse(id, RefusalReason.GIVEN_UP, 50, now);
    }
}
