package org.fescueport.internal.load.experiment.model;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Random;
import java.util.function.LongFunction;
import org.fescueport.internal.load.experiment.VirtualTime;

/** A plain service that works on a few requests at once and queues a few more. */
public final class ServiceModel implements Backend {
    /**
     * Sizes and speeds.
     *
     * @param workNanos median of the time that a request takes
     * @param workSigma spread of its logarithm
     */
    public record Settings(int slots, int queue, long workNanos, double workSigma) {}

    /**
     * How a service fares at some time.
     *
     * @param slowness factor by which its work takes longer
     * @param fails whether it answers with an error, at once
     */
    public record Health(double slowness, boolean fails) {
        /** A service without trouble. */
        public static final Health SOUND = new Health(1, false);
    }

    /** Time in which an error is answered. */
    private static final long ERROR_NANOS = VirtualTime.MILLI;

    private record Waiting(Call call, Listener listener) {}

    private final Settings mSettings;
    private final VirtualTime mTime;
    private final Random mRandom;
    private final LongFunction<Health> mHealth;
    private final Queue<Waiting> mWaiting = new ArrayDeque<>();
    private int mRunning;

    private ServiceModel(
            Settings settings, VirtualTime time, Random random, LongFunction<Health> health) {
        mHealth = health;
        mSettings = settings;
        mTime = time;
        mRandom = random;
    }

    /** Returns an idle service. */
    public static ServiceModel create(Settings settings, VirtualTime time, Random random) {
        return create(settings, time, random, now -> Health.SOUND);
    }

    /** Returns an idle service that fares differently at different times. */
    public static ServiceModel create(
            Settings settings, VirtualTime time, Random random, LongFunction<Health> health) {
        return new ServiceModel(settings, time, random, health);
    }

    @Override
    public boolean offer(Call call, Listener listener) {
        if (mRunning == mSettings.slots() && mWaiting.size() == mSettings.queue()) {
            return false;
        }
        mWaiting.add(new Waiting(call, listener));
        startNext();
        return true;
    }

    @Override
    public int running() {
        return mRunning;
    }

    @Override
    public int held() {
        return mRunning + mWaiting.size();
    }

    private void startNext() {
        while (mRunning < mSettings.slots() && !mWaiting.isEmpty()) {
            Waiting next = mWaiting.poll();
            if (next.call().isOver(mTime.now())) {
                next.listener().onEnded(next.call(), false);
                continue;
            }
            mRunning++;
            Health health = mHealth.apply(mTime.now());
            double spread = Math.exp(mSettings.workSigma() * mRandom.nextGaussian());
            long work = (long) (mSettings.workNanos() * spread * health.slowness());
            if (health.fails()) {
                mTime.after(ERROR_NANOS, () -> fail(next));
            } else {
                mTime.after(work, () -> finish(next));
            }
        }
    }

    private void fail(Waiting failed) {
        mRunning--;
        failed.listener().onEnded(failed.call(), false);
        startNext();
    }

    private void finish(Waiting done) {
        mRunning--;
        done.listener().onFirst(done.call());
        done.listener().onEnded(done.call(), true);
        startNext();
    }
}
