package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;

/** Told what comes of a request that was handed to a {@link ReplicaConnectionPool}. */
interface ResponseListener {
    /** Returns whether the request is still to be sent. */
    boolean isPending();

    /** Returns whether the replica may still be sent a request that it was chosen for. */
    boolean isReplicaAcceptingWork();

    /** The replica takes no new work any more; the request was not sent. */
    void onReplicaNotAcceptingWork();

    /** The request goes out now, on this connection. */
    void onSending(ReplicaConnection connection);

    /** No connection could be had; the request was not sent. */
    void onNotSent(String reason);

    /** The head of the answer has come. */
    void onHead(ResponseHead head);

    /** Part of the body has come; the buffer belongs to the listener. */
    void onContent(ByteBuf content);

    /** No more is to be read for the moment. */
    void onReadComplete();

    /**
     * The answer is complete.
     *
     * @param endedByClose whether only the end of the connection says so
     */
    void onResponseComplete(boolean endedByClose);

    /** The connection was lost or carried bytes that are no answer; the request may have run. */
    void onLost(String reason);
}
