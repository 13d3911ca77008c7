package org.fescueport.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.RawServer.Wire;

/** A small stand-in of a replica; answers by a script and remembers what it was sent. */
final class ReplicaStandIn implements AutoCloseable {
    private final String mId;
    private final String mService;
    private RawServer mServer;
    private int mLife = 1;
    private volatile boolean mUp = true;
    private int mWords;
    private final List<Request> mRequests = new ArrayList<>();

    private ReplicaStandIn(String id, String service, Script script) throws IOException {
        mId = id;
        mService = service;
        mServer = RawServer.start(recording(script));
    }

    static ReplicaStandIn start(String id, String service, Script script) throws IOException {
        return new ReplicaStandIn(id, service, script);
    }

    /** Answers well, with the body. */
    static Script answering(String body) {
        return (request, wire) -> wire.answer(200, headersFor(request), body.getBytes());
    }

    /** Returns the headers of a good answer. */
    static String headersFor(Request request) {
        return "Fescueport-Attempt-Id: "
                + request.header("Fescueport-Attempt-Id")
                + "\r\nFescueport-Replica-Stamp: stamp\r\nKeep-Alive: timeout=5\r\n";
    }

    /** Begins a stream of events that ends with its connection or by a chunk of no length. */
    static void beginStream(Request request, Wire wire) throws IOException {
        wire.write(
                "HTTP/1.1 200 OK\r\n"
                        + headersFor(request)
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Sends bytes of a stream. */
    static void chunk(Wire wire, String text) throws IOException {
        wire.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Returns events with the ids from the first to the last. */
    static String events(int first, int last) {
        var text = new StringBuilder();
        for (int id = first; id <= last; id++) {
            text.append("id: ").append(id).append("\ndata: event ").append(id).append("\n\n");
        }
        return text.toString();
    }

    String id() {
        return mId;
    }

    void script(Script script) {
        mServer.script(recording(script));
    }

    synchronized List<Request> requests() {
        return List.copyOf(mRequests);
    }

    int connections() {
        return mServer.connections();
    }

    /** Writes its entry into the store. */
    void register(StoreStandIn store, String state) {
        store.put("keyed.servers", mId, entry(state));
    }

    String entry(String state) {
        return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"north","version":"v1","slots":8,\
        "state":"%s","cold_remaining_ms":0,"seq":%d,"born":170000000000%d}"""
                .formatted(mService, mServer.address().getPort(), state, ++mWords, mLife);
    }

    /** Ends with all its connections. */
    void crash() throws IOException {
        mUp = false;
        mServer.close();
    }

    boolean isUp() {
        return mUp;
    }

    /** Begins another life, elsewhere. */
    void startAgain(StoreStandIn store, Script script) throws IOException {
        mLife++;
        mWords = 0;
        mUp = true;
        mServer = RawServer.start(recording(script));
        register(store, "ready");
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private Script recording(Script script) {
        return new Script() {
            @Override
            public void answer(Request request, Wire wire) throws Exception {
                synchronized (ReplicaStandIn.this) {
                    mRequests.add(request);
                }
                script.answer(request, wire);
            }

            @Override
            public boolean awaitsBody() {
                return script.awaitsBody();
            }
        };
    }
}
