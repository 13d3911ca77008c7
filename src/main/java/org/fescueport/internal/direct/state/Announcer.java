package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.direct.log.EventLog;

/** Puts this node's record into the store once, and reads who stood there before it. */
public final class Announcer {
    private static final Duration RETRY = Duration.ofMillis(1_000);

    /** Told this node's place and all nodes. */
    @FunctionalInterface
    public interface Listener {
        /** Called once the record stands in the store. */
        void onMembers(long rank, List<NodeEntry> entries);
    }

    private final StateStore mStore;
    private final StateDecoder mDecoder;
    private final ScheduledExecutorService mLoop;
    private final EventLog mLog;
    private final String mNode;
    private final InetSocketAddress mAddress;
    private final Listener mListener;

    private Announcer(
            StateStore store,
            StateDecoder decoder,
            ScheduledExecutorService loop,
            EventLog log,
            String node,
            InetSocketAddress address,
            Listener listener) {
        mStore = store;
        mDecoder = decoder;
        mLoop = loop;
        mLog = log;
        mNode = node;
        mAddress = address;
        mListener = listener;
    }

    /** Begins to announce a node, and goes on until it is done. */
    public static void announce(
            StateStore store,
            StateDecoder decoder,
            ScheduledExecutorService loop,
            EventLog log,
            String node,
            InetSocketAddress address,
            Listener listener) {
        new Announcer(store, decoder, loop, log, node, address, listener).write();
    }

    private void write() {
        mStore.announce(mNode, mAddress)
                .whenComplete(
                        (offset, failure) -> {
                            if (failure == null) {
                                // Offsets begin at 0, which stands for a rank that is not known.
                                read(offset + 1);
                            } else {
                                later(this::write);
                            }
                        });
    }

    private void read(long rank) {
        mStore.newest(StateTopic.NODES)
                .whenComplete(
                        (page, failure) -> {
                            if (failure == null) {
                                mListener.onMembers(rank, decode(page));
                            } else {
                                later(() -> read(rank));
                            }
                        });
    }

    private void later(Runnable task) {
        mLoop.schedule(task, RETRY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private List<NodeEntry> decode(StateStore.Page page) {
        List<NodeEntry> entries = new ArrayList<>();
        for (var record : page.records()) {
            try {
                InetSocketAddress address = mDecoder.node(record.value().orElseThrow());
                entries.add(new NodeEntry(record.key(), address, record.offset() + 1));
            } catch (StateDecoder.UnusableRecordException e) {
                mLog.change("node-unusable")
                        .with("key", record.key())
                        .with("reason", e.getMessage())
                        .write();
            }
        }
        return entries;
    }
}
