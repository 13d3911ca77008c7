package org.fescueport.platform.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fescueport.platform.Await;
import org.fescueport.platform.StoreStandIn;

/**
 * The store goes away for a moment and comes back from a copy some seconds old, in a new era. The
 * operator and the replicas write again what they had written, each at its own pace and order.
 */
final class SoakDrill {
    private static final long OLDEST_COPY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int AWAY_MS = 800;
    private static final int AGAIN_MS = 2_000;
    private static final double CHANCE = 0.08;

    private record Held(StoreStandIn.Copy copy, long atNanos) {}

    private final StoreStandIn mStore;
    private final SplittableRandom mRandom;
    private final Deque<Held> mCopies = new ArrayDeque<>();
    private final List<Thread> mWriting = new ArrayList<>();
    private long mEra = 1;

    /** Takes the store over; its random choices are its own, so that seeds keep their faults. */
    SoakDrill(StoreStandIn store, long seed) {
        mStore = store;
        mRandom = new SplittableRandom(~seed);
        mStore.era(Long.toString(mEra));
    }

    long drills() {
        return mEra - 1;
    }

    /**
     * Keeps a copy, and now and then plays the drill.
     *
     * @param operator writes the configuration in force again
     * @param departed replicas that have left; their entries go again in time
     */
    void tick(
            Runnable operator, Collection<SoakReplica> present, Collection<SoakReplica> departed) {
        long now = System.nanoTime();
        mCopies.add(new Held(mStore.copy(), now));
        while (now - mCopies.getFirst().atNanos() > OLDEST_COPY_NANOS) {
            mCopies.removeFirst();
        }
        if (mRandom.nextDouble() < CHANCE) {
            play(operator, List.copyOf(present), List.copyOf(departed));
        }
    }

    /** Waits until all has been written again. */
    void await() throws InterruptedException {
        for (var thread : mWriting) {
            thread.join();
        }
        mWriting.clear();
    }

    private void play(Runnable operator, List<SoakReplica> present, List<SoakReplica> departed) {
        var held = List.copyOf(mCopies).get(mRandom.nextInt(mCopies.size()));
        mStore.mode(StoreStandIn.Mode.BUSY);
        Await.pause(mRandom.nextInt(AWAY_MS));
        mEra++;
        mStore.comeBack(held.copy(), mEra);
        mStore.mode(StoreStandIn.Mode.GOOD);
        later(operator);
        present.forEach(replica -> later(() -> replica.register(mStore, "ready")));
        departed.forEach(replica -> later(() -> mStore.remove("keyed.servers", replica.id())));
    }

    private void later(Runnable write) {
        int millis = mRandom.nextInt(AGAIN_MS);
        mWriting.add(
                Thread.ofVirtual()
                        .start(
                                () -> {
                                    Await.pause(millis);
                                    write.run();
                                }));
    }
}
