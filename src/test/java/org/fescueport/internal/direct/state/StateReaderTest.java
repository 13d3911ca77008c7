package org.fescueport.internal.direct.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.Clock;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.platform.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class StateReaderTest {
    private static final long LIMIT_MS = 10_000;
    private static final StorePosition END = StorePosition.of(0, 5);
    private static final StateStore.Page EMPTY = new StateStore.Page(List.of(), END);

    private final EventLog mLog =
            EventLog.start(OutputStream.nullOutputStream(), Clock.SYSTEM, "test", 10);
    private final ScheduledExecutorService mLoop = Executors.newSingleThreadScheduledExecutor();
    private final FleetView mView =
            FleetView.create(
                    new PlainDecoder(), mLog, Duration.ofSeconds(2), Duration.ofMillis(1_200));
    private final FailingStore mStore = new FailingStore();

    /** A store without records, some of whose calls fail. */
    private static final class FailingStore implements StateStore {
        private final AtomicInteger mNewestCalls = new AtomicInteger();
        private final AtomicInteger mReads = new AtomicInteger();
        private volatile Throwable mNewestFailure;
        private volatile Throwable mReadFailure;

        @Override
        public CompletableFuture<Page> newest(
                StateTopic topic, Consumer<List<StateRecord>> onPart) {
            if (topic == StateTopic.CONFIGURATION) {
                return CompletableFuture.completedFuture(EMPTY);
            }
            Throwable failure = mNewestFailure;
            mNewestCalls.incrementAndGet();
            return failure == null
                    ? CompletableFuture.completedFuture(EMPTY)
                    : CompletableFuture.failedFuture(failure);
        }

        @Override
        public CompletableFuture<Page> read(
                StateTopic topic, StorePosition from, Duration maxWait) {
            if (topic == StateTopic.CONFIGURATION) {
                return CompletableFuture.completedFuture(EMPTY);
            }
            Throwable failure = mReadFailure;
            mReads.incrementAndGet();
            return failure == null
                    ? CompletableFuture.completedFuture(EMPTY)
                    : CompletableFuture.failedFuture(failure);
        }

        @Override
        public CompletableFuture<StorePosition> registerNode(String node, NodeRecord record) {
            return CompletableFuture.completedFuture(END);
        }
    }

    /** A listener that applies batches, and fails behind the first ones of replicas. */
    private final class FailingListener implements StateReader.Listener {
        private final int mFailures;
        private final AtomicInteger mBatches = new AtomicInteger();

        FailingListener(int failures) {
            mFailures = failures;
        }

        @Override
        public void onBatch(RecordBatch batch) {
            mView.applyBatch(batch, 0);
            if (batch.topic() == StateTopic.REPLICAS && mBatches.incrementAndGet() <= mFailures) {
                throw new IllegalStateException("a fault of the listener");
            }
        }

        @Override
        public void onFirstReplicas(List<StateRecord> records) {}

        @Override
        public void onReplicasRead(boolean answered) {}
    }

    @AfterEach
    void stop() {
        mLoop.shutdownNow();
        mLog.close();
    }

    private StateReader start(StateReader.Listener listener) {
        var eras = EraTracker.create(Clock.SYSTEM, mLog);
        var reader = StateReader.create(mStore, eras, mView, listener, mLoop, Clock.SYSTEM, mLog);
        mLoop.execute(reader::start);
        return reader;
    }

    @Test
    void shouldReadOnBehindABatchOnWhichTheListenerFails() {
        var listener = new FailingListener(2);
        start(listener);
        Await.until("reads on", LIMIT_MS, () -> listener.mBatches.get() > 2);
        assertThat(mView.next(StateTopic.REPLICAS), is(END));
    }

    static Stream<Throwable> failures() {
        return Stream.of(
                StoreException.of(StoreException.Cause.UNREADABLE, "a record is cut off"),
                new IllegalArgumentException("a fault of the client"),
                new StackOverflowError());
    }

    @ParameterizedTest
    @MethodSource("failures")
    void shouldReadTheListAgainAfterAFailure(Throwable failure) {
        mStore.mNewestFailure = failure;
        start(new FailingListener(0));
        Await.until("is tried again", LIMIT_MS, () -> mStore.mNewestCalls.get() > 1);
        mStore.mNewestFailure = null;
        Await.until("follows", LIMIT_MS, () -> mStore.mReads.get() > 0);
        assertThat(mView.areReplicasListed(), is(true));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void shouldReadTheListInPlaceOfRecordsThatCannotBeRead(Throwable failure) {
        mStore.mReadFailure = failure;
        start(new FailingListener(0));
        Await.until("reads the list again", LIMIT_MS, () -> mStore.mNewestCalls.get() > 1);
        assertThat(mView.areReplicasListed(), is(true));
    }
}
