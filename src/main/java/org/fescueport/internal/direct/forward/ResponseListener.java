package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;

/** Notified of the progress of a request that was passed to a {@link ReplicaConnectionPool}. */
interface ResponseListener {
    /** Returns whether the request still needs to be sent. */
    boolean isPending();

    /** Returns whether the replica still accepts new work, so that the request may be sent. */
    boolean isReplicaAcceptingWork();

    /** The replica does not accept new work any more; the request was not sent. */
    void onReplicaNotAcceptingWork();

    /** The request is about to be sent on this connection. */
    void onSending(ReplicaConnection connection);

    /** All connections that may be opened are in use; the request was not sent. */
    void onNotSent(String reason);

    /** No connection could be opened; the request was not sent. */
    void onUnreachable(ConnectResult result, String reason);

    /** The head of the response has been received. */
    void onHead(ResponseHead head);

    /** Part of the body has been received. The listener takes ownership of the buffer. */
    void onContent(ByteBuf content);

    /** No more bytes are available for now. */
    void onReadComplete();

    /**
     * The response is complete.
     *
     * @param endedByClose whether only the closing of the connection marked the end of the body
     */
    void onResponseComplete(boolean endedByClose);

    /**
     * The connection was lost, or carried bytes that are not a valid response; the request may have
     * run.
     */
    void onLost(String reason);
}
