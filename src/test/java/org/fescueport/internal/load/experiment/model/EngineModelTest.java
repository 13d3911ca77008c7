package org.fescueport.internal.load.experiment.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.load.experiment.VirtualTime;
import org.junit.jupiter.api.Test;

class EngineModelTest {
    private static final long MILLI = VirtualTime.MILLI;
    private static final long SECOND = VirtualTime.SECOND;

    /** Two at once and two that wait; a step takes 1 ms, 100 tokens are read in a ms. */
    private static final EngineModel.Settings SETTINGS =
            new EngineModel.Settings(2, 2, 1_000, MILLI, 0, 100, 500);

    private final VirtualTime mTime = new VirtualTime();
    private final EngineModel mEngine = EngineModel.create(SETTINGS, mTime);
    private final List<String> mEvents = new ArrayList<>();

    private Call call(int shared, int own, int output, int urgency) {
        var parts = List.of(new Call.Part(7, shared), new Call.Part(-mTime.now() - 1, own));
        return Call.arriving(mTime.now(), parts, output, urgency, SECOND, SECOND);
    }

    private boolean offer(String name, Call call) {
        return mEngine.offer(
                call,
                new Backend.Listener() {
                    @Override
                    public void onFirst(Call begun) {
                        mEvents.add(name + " begins at " + mTime.now() / MILLI);
                    }

                    @Override
                    public void onEnded(Call ended, boolean complete) {
                        String how = complete ? " ends at " : " is dropped at ";
                        mEvents.add(name + how + mTime.now() / MILLI);
                    }
                });
    }

    @Test
    void shouldReadAPromptAndThenGiveATokenAStep() {
        offer("a", call(0, 100, 3, 0));
        mTime.runUntil(SECOND);
        assertThat(mEvents, contains("a begins at 2", "a ends at 4"));
        assertThat(mEngine.held(), is(0));
    }

    @Test
    void shouldNotReadASharedPartAgain() {
        offer("a", call(200, 100, 1, 0));
        mTime.runUntil(10 * MILLI);
        offer("b", call(200, 100, 1, 0));
        mTime.runUntil(SECOND);
        assertThat(mEvents.getLast(), is("b ends at 12"));
        assertThat(mEngine.counts(), is(new EngineModel.Counts(400, 200, 0)));
    }

    @Test
    void shouldRefuseWhatItCannotQueueOrHold() {
        assertThat(offer("large", call(0, 1_000, 1, 0)), is(false));
        for (int i = 0; i < 4; i++) {
            assertThat(offer("c" + i, call(0, 10, 5, 0)), is(true));
        }
        assertThat(offer("fifth", call(0, 10, 5, 0)), is(false));
        assertThat(mEngine.held(), is(4));
    }

    @Test
    void shouldBeginTheMoreUrgentOfThoseThatWait() {
        offer("a", call(0, 10, 2, 1));
        offer("b", call(0, 10, 2, 1));
        offer("later", call(0, 10, 1, 3));
        offer("urgent", call(0, 10, 1, 0));
        mTime.runUntil(SECOND);
        List<String> begun = mEvents.stream().filter(e -> e.contains("begins")).toList();
        List<String> names = begun.stream().map(e -> e.substring(0, e.indexOf(' '))).toList();
        assertThat(names, contains("a", "urgent", "b", "later"));
    }

    @Test
    void shouldTakeTheNewestOfTheLeastUrgentBackWhenMemoryIsFull() {
        offer("first", call(0, 450, 200, 0));
        offer("second", call(0, 450, 200, 1));
        mTime.runUntil(SECOND);
        assertThat(mEngine.counts().preempted(), is(1L));
        assertThat(mEvents.get(2).startsWith("first ends"), is(true));
        assertThat(mEvents.get(3).startsWith("second ends"), is(true));
    }

    @Test
    void shouldDropWhatNobodyWaitsForAnyMore() {
        var parts = List.of(new Call.Part(1, 10));
        offer("a", Call.arriving(0, parts, 900, 0, SECOND, 100 * MILLI));
        mTime.runUntil(SECOND);
        assertThat(mEvents.getLast().startsWith("a is dropped"), is(true));
        assertThat(mEngine.held(), is(0));
    }
}
