package org.fescueport.internal.load.experiment.model;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Random;
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

    private record Waiting(Call call, Listener listener) {}

    private final Settings mSettings;
    private final VirtualTime mTime;
    private final Random mRandom;
    private final Queue<Waiting> mWaiting = new ArrayDeque<>();
    private int mRunning;

    private ServiceModel(Settings settings, VirtualTime time, Random random) {
        mSettings = settings;
        mTime = time;
        mRandom = random;
    }

    /** Returns an idle service. */
    public static ServiceModel create(Settings settings, VirtualTime time, Random random) {
        return new ServiceModel(settings, time, random);
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
            double spread = Math.exp(mSettings.workSigma() * mRandom.nextGaussian());
            mTime.after((long) (mSettings.workNanos() * spread), () -> finish(next));
        }
    }

    private void finish(Waiting done) {
        mRunning--;
        done.listener().onFirst(done.call());
        done.listener().onEnded(done.call(), true);
        startNext();
    }
}
