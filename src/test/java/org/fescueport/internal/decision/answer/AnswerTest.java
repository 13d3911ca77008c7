package org.fescueport.internal.decision.answer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnswerTest {
    private static final RequestId REQUEST = RequestId.of(1, 1);
    private static final AttemptId FIRST = AttemptId.of(REQUEST, 1);
    private static final AttemptId SECOND = FIRST.next();
    private static final TeamId TEAM = TeamId.of("dams");

    private final AnswerBuffer mBuffer =
            AnswerBuffer.create(new AnswerBuffer.Limits(10, 15, 3, 100));

    @Test
    void shouldReplayFromChunkToOwnTeamOnly() {
        mBuffer.open(FIRST, TEAM, 1);
        mBuffer.append(FIRST, bytes("a"));
        Chunk second = mBuffer.append(FIRST, bytes("b"));

        assertThat(
                mBuffer.resume(FIRST, TEAM, 2), is(new Replay.Available(List.of(second), false)));
        assertThat(
                mBuffer.resume(FIRST, TeamId.of("garages"), 2), instanceOf(Replay.NotFound.class));
    }

    @Test
    void shouldExpireInTheOrderInWhichAnswersEnded() {
        AttemptId other = AttemptId.of(RequestId.of(2, 2), 1);
        mBuffer.open(FIRST, TEAM, 1);
        mBuffer.open(other, TEAM, 1);
        mBuffer.detach(FIRST, 10);
        mBuffer.end(other, 20);
        mBuffer.resume(FIRST, TEAM, 1);
        mBuffer.detach(FIRST, 30);

        assertThat(mBuffer.expire(120), is(List.of()));

        assertThat(mBuffer.resume(other, TEAM, 1), is(new Replay.NotFound()));
        assertThat(mBuffer.resume(FIRST, TEAM, 1), is(new Replay.Available(List.of(), false)));
        assertThat(mBuffer.expire(1000), is(List.of()));
    }

    @Test
    void shouldMakeReaderPauseUntilAcknowledged() {
        mBuffer.open(FIRST, TEAM, 1);
        mBuffer.append(FIRST, bytes("0123456789"));
        assertThat(mBuffer.isFull(FIRST), is(true));

        mBuffer.acknowledge(FIRST, 1);

        assertThat(mBuffer.isFull(FIRST), is(false));
        assertThat(mBuffer.resume(FIRST, TEAM, 1), is(new Replay.Trimmed(2)));
    }

    @Test
    void shouldBoundBytesOfAllAnswers() {
        AttemptId other = AttemptId.of(RequestId.of(2, 2), 1);
        mBuffer.open(FIRST, TEAM, 1);
        mBuffer.open(other, TEAM, 1);
        mBuffer.append(FIRST, bytes("01234567"));
        mBuffer.append(other, bytes("01234567"));

        assertThat(mBuffer.isFull(other), is(true));
        mBuffer.acknowledge(FIRST, 1);
        assertThat(mBuffer.isFull(other), is(false));
    }

    @Test
    void shouldDropFramesOfOlderAttempt() {
        mBuffer.open(FIRST, TEAM, 1);
        mBuffer.append(FIRST, bytes("a"));
        mBuffer.open(SECOND, TEAM, 2);

        assertThat(mBuffer.append(FIRST, bytes("b")), is(nullValue()));
        assertThat(mBuffer.append(SECOND, bytes("c")).number(), is(2));
        assertThat(mBuffer.staleFrames(), is(1L));
    }

    @Test
    void shouldReturnAbandonedStreamsForCancelling() {
        mBuffer.open(FIRST, TEAM, 1);
        mBuffer.append(FIRST, bytes("a"));
        mBuffer.detach(FIRST, 0);

        assertThat(mBuffer.expire(99), is(List.of()));
        assertThat(mBuffer.expire(100), contains(FIRST));
        assertThat(mBuffer.bytes(), is(0L));
    }

    @Test
    void shouldRefuseFrameOfAnotherRequest() {
        AnswerAssembler answer = AnswerAssembler.start(REQUEST, 100);
        answer.attempt(FIRST);
        AttemptId foreign = AttemptId.of(RequestId.of(3, 3), 1);

        assertThrows(
                Invariants.InvariantViolation.class, () -> answer.accept(foreign, 1, bytes("x")));
    }

    @Test
    void shouldRebuildTextAndDeliverOnlyWhatCallerLacks() {
        AnswerAssembler answer = AnswerAssembler.resume(REQUEST, 100, 1, 1);
        answer.attempt(FIRST);

        assertThat(
                answer.accept(FIRST, 1, bytes("a")), instanceOf(Delivery.AlreadyDelivered.class));
        assertThat(answer.accept(FIRST, 2, bytes("b")), instanceOf(Delivery.Event.class));
        assertThat(answer.canContinueElsewhere(), is(true));
        assertThat(answer.text(), is("ab"));
    }

    /**
     * Agents are lost at random, and chunks arrive late, duplicated and out of order. The caller
     * must still receive the complete text exactly once.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldDeliverWholeTextUnderRandomFaults(long seed) {
        Random random = new Random(seed);
        String whole = "el embalse está al 87 % y el aliviadero sigue cerrado".repeat(4);
        AnswerAssembler answer = AnswerAssembler.start(REQUEST, 10_000);
        StringBuilder seen = new StringBuilder();
        List<Integer> ids = new ArrayList<>();
        List<Chunk> late = new ArrayList<>();
        AttemptId attempt = FIRST;
        answer.attempt(attempt);
        int losses = 0;
        while (seen.length() < whole.length()) {
            List<Chunk> chunks = burst(random, whole, answer);
            if (losses < 20 && random.nextInt(3) == 0) {
                losses++;
                for (Chunk chunk : chunks) {
                    late.add(new Chunk(chunk.number(), bytes("#")));
                }
                attempt = attempt.next();
                answer.attempt(attempt);
                continue;
            }
            for (Chunk chunk : chunks) {
                deliver(answer.accept(attempt, chunk.number(), chunk.data()), seen, ids);
            }
            if (attempt.number() > 1 && !late.isEmpty()) {
                Chunk stale = late.get(random.nextInt(late.size()));
                deliver(answer.accept(FIRST, stale.number(), stale.data()), seen, ids);
            }
        }
        assertThat(seen.toString(), is(whole));
        for (int i = 0; i < ids.size(); i++) {
            assertThat(ids.get(i), is(i + 1));
        }
        assertThat(losses, lessThanOrEqualTo(20));
    }

    private static List<Chunk> burst(Random random, String whole, AnswerAssembler answer) {
        String rest = whole.substring(answer.text().length());
        List<Chunk> chunks = new ArrayList<>();
        for (int i = 0; i < Math.min(4, rest.length()); i++) {
            chunks.add(new Chunk(answer.nextChunk() + i, bytes(rest.substring(i, i + 1))));
        }
        chunks.addAll(List.copyOf(chunks));
        Collections.shuffle(chunks, random);
        return chunks;
    }

    private static void deliver(Delivery delivery, StringBuilder seen, List<Integer> ids) {
        if (delivery instanceof Delivery.Event event) {
            seen.append(new String(event.data(), StandardCharsets.UTF_8));
            ids.add(event.id());
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
