package org.fescueport.internal.wire;

import org.fescueport.internal.wire.generated.Frame;

/** Receives what happens on connections; called on I/O threads and must not block. */
public interface FrameListener {
    /** A connection was opened. */
    void onOpen(FrameConnection connection);

    /** A frame arrived. */
    void onFrame(FrameConnection connection, Frame frame);

    /** The connection is closed; no frame follows. */
    void onClosed(FrameConnection connection);
}
