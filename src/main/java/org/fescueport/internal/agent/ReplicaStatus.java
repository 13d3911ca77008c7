package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.wire.generated.ReplicaActivity;
import org.fescueport.internal.wire.generated.ReplicaReport;
import org.fescueport.port.Engine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the engine beside an agent has loaded: from its reports, which lag, and from the orders that
 * were passed on to it. Safe to use from any thread.
 */
final class ReplicaStatus {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaStatus.class);

    /** Time for which an order outweighs a report that tells of what was loaded before. */
    private static final long LOADING_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Engine mEngine;
    private final Clock mClock;
    private final Runnable mOnChange;
    private boolean mIsUp;
    private String mReported = "";
    private String mOrdered = "";
    private long mOrderedAtNanos;
    private boolean mIsSetAside;
    private boolean mWasServing;

    private ReplicaStatus(Engine engine, Clock clock, Runnable onChange) {
        mEngine = engine;
        mClock = clock;
        mOnChange = onChange;
    }

    /** Returns the status of an engine, which serves nothing until it has reported. */
    static ReplicaStatus create(Engine engine, Clock clock, Runnable onChange) {
        return new ReplicaStatus(engine, clock, onChange);
    }

    /** Reads the engine's report. */
    void refresh() {
        mEngine.load().whenComplete(this::onReport);
    }

    synchronized boolean isServing() {
        return !mIsSetAside && mOrdered.isEmpty() && !mReported.isEmpty();
    }

    synchronized ReplicaReport report() {
        var artifact = mOrdered.isEmpty() ? mReported : mOrdered;
        return ReplicaReport.newBuilder().setActivity(activity()).setArtifact(artifact).build();
    }

    /** Takes the engine out of service, so that an order can be passed on to it. */
    void setAside(String artifact) {
        synchronized (this) {
            mIsSetAside = true;
            mOrdered = artifact;
            mOrderedAtNanos = mClock.monotonicTime();
        }
        tellChange();
    }

    /** Hears that an order has reached the engine, which serves again once it has loaded. */
    void onPassed(String artifact) {
        synchronized (this) {
            mIsSetAside = false;
            mOrdered = artifact;
            mOrderedAtNanos = mClock.monotonicTime();
        }
        refresh();
    }

    /** Hears that an order surely had no effect: the engine serves what it did before. */
    void onRefused() {
        synchronized (this) {
            mIsSetAside = false;
            mOrdered = "";
        }
        tellChange();
    }

    private ReplicaActivity activity() {
        if (!mIsUp) {
            return ReplicaActivity.REPLICA_DOWN;
        }
        if (!mOrdered.isEmpty()) {
            return ReplicaActivity.REPLICA_LOADING;
        }
        return mReported.isEmpty() ? ReplicaActivity.REPLICA_EMPTY : ReplicaActivity.REPLICA_READY;
    }

    private void onReport(Engine.ReportedLoad load, Throwable failure) {
        synchronized (this) {
            mIsUp = failure == null;
            if (failure == null) {
                mReported = load.version();
                var isOver = mClock.monotonicTime() - mOrderedAtNanos > LOADING_LIMIT_NANOS;
                if (!mIsSetAside && (mReported.equals(mOrdered) || isOver)) {
                    mOrdered = "";
                }
            }
        }
        tellChange();
    }

    private void tellChange() {
        synchronized (this) {
            if (isServing() == mWasServing) {
                return;
            }
            mWasServing = !mWasServing;
            LOG.info("the engine {} {}", mWasServing ? "serves" : "stops serving", mReported);
        }
        mOnChange.run();
    }
}
