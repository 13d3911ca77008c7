package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.OptionalLong;
import org.fescueport.internal.decision.placement.ReplicaNotice;
import org.fescueport.internal.decision.placement.ReplicaPace;
import org.fescueport.internal.decision.placement.WorkKind;
import org.fescueport.internal.direct.place.ReplicaChooser;
import org.fescueport.internal.direct.state.ReplicaEntry;

/**
 * One attempt to have a request processed by a replica.
 *
 * <p>Accounts for the replica's load and reports the response to its {@link Exchange} until the
 * attempt has ended or is cancelled.
 */
final class Attempt implements ResponseListener {
    /** Number of events from which their mean distance is meaningful. */
    private static final int MIN_EVENTS = 4;

    private final Exchange mExchange;
    private final ForwardingContext mContext;
    private final ReplicaEntry mReplica;
    private final int mNumber;
    private final long mStartNanos;
    private final ReplicaPace.Sending mSending;
    private ReplicaConnection mConnection;
    private boolean mSent;
    private boolean mEnded;
    private ResponseHead mHead;
    private boolean mHasContent;
    private int mEvents;
    private long mFirstEventNanos;
    private long mLastEventNanos;
    private boolean mWasSuspended;
    private final double mHeldPerSlot;

    Attempt(
            Exchange exchange,
            ForwardingContext context,
            ReplicaChooser.Selection selection,
            WorkKind kind,
            int number) {
        mExchange = exchange;
        mContext = context;
        mReplica = selection.replica();
        mNumber = number;
        mStartNanos = context.nowNanos();
        int held = context.loads().inFlight(mReplica.id(), mStartNanos);
        mHeldPerSlot = (double) held / Math.max(1, mReplica.slots());
        context.loads().onSent(mReplica.id());
        mSending = context.chooser().onSent(selection, kind, mStartNanos);
    }

    ReplicaEntry replica() {
        return mReplica;
    }

    int number() {
        return mNumber;
    }

    long startNanos() {
        return mStartNanos;
    }

    /** Returns whether the request has been sent, so that the replica may have run it. */
    boolean isSent() {
        return mSent;
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Returns the head of the response, or null if none has been received. */
    ResponseHead head() {
        return mHead;
    }

    /** Returns whether part of the response's body has been received. */
    boolean hasContent() {
        return mHasContent;
    }

    /** Records that a complete event of a stream was received. */
    void onEvent(long nowNanos) {
        mFirstEventNanos = mEvents == 0 ? nowNanos : mFirstEventNanos;
        mLastEventNanos = nowNanos;
        mEvents++;
    }

    /** Returns whether a complete event was received. */
    boolean hasEvent() {
        return mEvents > 0;
    }

    /** Returns the mean time between the events; empty for a few events. */
    private OptionalLong meanPauseNanos() {
        return mEvents < MIN_EVENTS || mWasSuspended
                ? OptionalLong.empty()
                : OptionalLong.of((mLastEventNanos - mFirstEventNanos) / (mEvents - 1));
    }

    /** Returns the time since which the next event is awaited. */
    long lastEventNanos() {
        return mLastEventNanos;
    }

    /** Reports the time to the first byte for the replica's speed. */
    void reportFirstByte(String route) {
        reportWork(route, mContext.nowNanos() - mStartNanos);
    }

    /** Reports the time between the events of a complete stream for the replica's speed. */
    void reportEvents(String route) {
        meanPauseNanos().ifPresent(nanos -> reportWork(route + " events", nanos));
    }

    private void reportWork(String kind, long nanos) {
        mContext.speeds().onWork(mReplica.id(), kind, mHeldPerSlot, nanos, mContext.nowNanos());
    }

    /** Stops the work at the replica; nothing more is reported. */
    void cancel() {
        if (end() && mConnection != null) {
            mConnection.cancelRequest();
        }
    }

    void setReading(boolean reading) {
        if (mConnection != null && !mEnded) {
            mConnection.setReading(reading);
            // Events that were not read meanwhile are not late.
            mWasSuspended = true;
            mLastEventNanos = mContext.nowNanos();
        }
    }

    @Override
    public boolean isPending() {
        return !mEnded;
    }

    @Override
    public boolean isReplicaAcceptingWork() {
        return mContext.notices().acceptsRequests(mReplica.life(), mContext.nowNanos());
    }

    @Override
    public void onReplicaNotAcceptingWork() {
        if (end()) {
            mExchange.onNotSent(this, "the replica takes no new work any more");
        }
    }

    @Override
    public void onSending(ReplicaConnection connection) {
        mConnection = connection;
        mSent = true;
    }

    @Override
    public void onNotSent(String reason) {
        if (end()) {
            mContext.chooser().onFailure(mReplica, mContext.nowNanos());
            mExchange.onNotSent(this, reason);
        }
    }

    @Override
    public void onUnreachable(ConnectResult result, String reason) {
        if (!mEnded) {
            long now = mContext.nowNanos();
            switch (result) {
                case REFUSED -> mContext.crashes().onUnreachable(mReplica, now);
                case NO_RESPONSE -> mContext.crashes().onSilent(mReplica, now);
                default -> throw new IllegalStateException("result " + result);
            }
        }
        onNotSent(reason);
    }

    @Override
    public void onHead(ResponseHead head) {
        mHead = head;
        long now = mContext.nowNanos();
        mContext.health().onDataReceived(mReplica.id(), now);
        mContext.crashes().onReplicaAlive(mReplica, mStartNanos);
        applyNotice(head.notice(), now);
        head.load().ifPresent(load -> onLoad(load, now));
        mExchange.onHead(this, head);
    }

    private void onLoad(ResponseHead.Load load, long nowNanos) {
        var id = mReplica.id();
        load.held().ifPresent(held -> mContext.loads().onReport(id, held, nowNanos));
        load.workPercent().ifPresent(percent -> mContext.speeds().onReport(id, percent, nowNanos));
        load.unreadable().ifPresent(this::onUnreadableLoad);
    }

    private void onUnreadableLoad(String text) {
        mContext.metrics().onUnreadableLoad();
        if (mContext.speeds().onUnreadableReport(mReplica.id())) {
            mContext.log()
                    .change("replica-load-unreadable")
                    .with("replica", mReplica.id())
                    .with("load", text)
                    .write();
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        if (!mHasContent && mHead.isSuccess()) {
            mContext.chooser().onFirstByte(mSending, mContext.nowNanos());
        }
        mHasContent = true;
        mContext.health().onDataReceived(mReplica.id(), mContext.nowNanos());
        mExchange.onContent(this, content);
    }

    @Override
    public void onReadComplete() {
        mExchange.onReadComplete(this);
    }

    @Override
    public void onResponseComplete(boolean endedByClose) {
        if (end()) {
            mExchange.onResponseComplete(this, endedByClose);
        }
    }

    @Override
    public void onLost(String reason) {
        if (end()) {
            mExchange.onLost(this, reason);
        }
    }

    private void applyNotice(ReplicaNotice notice, long nowNanos) {
        if (mContext.notices().onNotice(mReplica.life(), notice, nowNanos)) {
            if (notice.pause().isPresent()) {
                mContext.chooser().onPaused(mReplica, nowNanos);
            }
            mContext.log()
                    .change("replica-notice")
                    .with("replica", mReplica.id())
                    .with("life", mReplica.startedAtMillis())
                    .with("leaving", notice.leaving())
                    .with("pause_ms", notice.pause().map(Duration::toMillis).orElse(0L))
                    .with("unreadable", notice.unreadable().orElse(""))
                    .write();
        }
    }

    private boolean end() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mContext.loads().onEnded(mReplica.id());
        mContext.chooser().onEnded(mSending);
        return true;
    }
}
