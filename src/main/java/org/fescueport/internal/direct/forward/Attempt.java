package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
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

    /** Stops the work at the replica; nothing more is reported. */
    void cancel() {
        if (end() && mConnection != null) {
            mConnection.cancelRequest();
        }
    }

    void setReading(boolean reading) {
        if (mConnection != null && !mEnded) {
            mConnection.setReading(reading);
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
        head.load()
                .ifPresent(
                        load -> {
                            int held = load.running() + load.waiting();
                            mContext.loads().onReport(mReplica.id(), held, now);
                            load.workPercent()
                                    .ifPresent(
                                            percent ->
                                                    mContext.speeds()
                                                            .onReport(mReplica.id(), percent, now));
                        });
        mExchange.onHead(this, head);
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
