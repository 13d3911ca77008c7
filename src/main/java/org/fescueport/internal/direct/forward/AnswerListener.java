package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;

/** Told what comes of a request that was handed to a {@link ReplicaLink}. */
interface AnswerListener {
    /** Returns whether the request is still to be sent. */
    boolean isWanted();

    /** Returns whether the replica may still be sent a request that it was chosen for. */
    boolean isReplicaOpen();

    /** The replica takes no new work any more; the request was not sent. */
    void onReplicaClosed();

    /** The request goes out now, on this connection. */
    void onSending(ReplicaConnection connection);

    /** No connection could be had; the request was not sent. */
    void onNotSent(String reason);

    /** The head of the answer has come. */
    void onHead(AnswerHead head);

    /** Part of the body has come; the buffer belongs to the listener. */
    void onContent(ByteBuf content);

    /** No more is to be read for the moment. */
    void onPause();

    /**
     * The answer is complete.
     *
     * @param byConnection whether only the end of the connection says so
     */
    void onEnd(boolean byConnection);

    /** The connection was lost or carried bytes that are no answer; the request may have run. */
    void onLost(String reason);
}
