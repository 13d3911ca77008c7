package org.fescueport.internal.http;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/** One exchange of {@link HttpServer}: gathers the request, runs the handler, sends the answer. */
final class ServerExchange
        implements AsyncServerExchangeHandler, HttpExchange, ArrivingRequests.Arrival {
    private static final int MAX_PIPELINED = 16;
    private static final int DISCARD_FACTOR = 4;
    private static final int FIRST_BODY_BYTES = 16 * 1024;
    private static final byte[] NO_BODY = {};

    private final HttpServer mServer;
    private final AtomicBoolean mAnswered = new AtomicBoolean();
    private final ResponseBody mResponse = new ResponseBody(this::breakOff);
    private final Runnable mOnPeerClosed = this::peerClosed;
    private final Object mAbortLock = new Object();
    private HttpRequest mRequest;
    private String mPath = "/";
    private String mQuery = "";
    private ResponseChannel mChannel;
    private HttpCoreContext mContext;
    private OpenConnections.Connection mConnection;
    private byte[] mBody = NO_BODY;
    private int mBodyLength;
    private int mHeldBytes;
    private long mSinceNanos;
    private boolean mArriving;
    private long mDiscarded;
    private boolean mStarted;
    private boolean mReleased;
    private Runnable mAbortAction;
    private boolean mAborted;

    ServerExchange(HttpServer server) {
        mServer = server;
    }

    @Override
    public void handleRequest(
            HttpRequest request, EntityDetails entity, ResponseChannel channel, HttpContext context)
            throws HttpException, IOException {
        mRequest = request;
        mChannel = channel;
        mContext = HttpCoreContext.cast(context);
        mConnection = mServer.connections().find(mContext.getEndpointDetails());
        splitTarget(request.getPath());
        if (entity != null) {
            // Also while it is refused: the connection is not idle until its answer is out.
            mSinceNanos = mServer.settings().clock().monotonicTime();
            mArriving = true;
            mServer.arriving().add(this);
        }
        RefusedHead.Reason broken = RequestRules.brokenRule(request, context);
        if (broken != null) {
            refuse(broken.status(), broken.type(), broken.message());
        } else if (mServer.hasTooMuchHead(request)) {
            JsonError.respond(this, 431, "headers_too_large", "The headers are too large.");
        } else if (entity == null) {
            run();
        } else if (entity.getContentLength() > mServer.settings().maxBodyBytes()) {
            refuseBody();
        } else {
            expectBody(request, entity);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        int more = data.remaining();
        if (mAnswered.get()) {
            discard(data);
        } else if (mBodyLength + more > mServer.settings().maxBodyBytes()) {
            refuseBody();
            discard(data);
        } else {
            if (mBodyLength + more > mBody.length && !growBody(mBodyLength + more)) {
                refuseForRoom();
                discard(data);
                return;
            }
            data.get(mBody, mBodyLength, more);
            mBodyLength += more;
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        arrived();
        if (!mAnswered.get()) {
            run();
        }
    }

    @Override
    public int available() {
        return mResponse.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        mResponse.produce(channel);
    }

    @Override
    public void failed(Exception cause) {
        tellAborted();
    }

    @Override
    public void releaseResources() {
        if (!mResponse.isEnded()) {
            tellAborted();
        }
        synchronized (mAbortLock) {
            if (mReleased) {
                return;
            }
            mReleased = true;
            mAbortAction = null;
        }
        arrived();
        mServer.letGo(mHeldBytes);
        if (mStarted && mConnection != null) {
            mConnection.end(mOnPeerClosed, mServer.settings().clock().monotonicTime());
        }
    }

    @Override
    public String method() {
        return mRequest.getMethod();
    }

    @Override
    public String path() {
        return mPath;
    }

    @Override
    public String query(String name, String fallback) {
        for (String pair : mQuery.split("&")) {
            int equals = pair.indexOf('=');
            String key = equals < 0 ? pair : pair.substring(0, equals);
            if (decode(key).equals(name)) {
                return equals < 0 ? "" : decode(pair.substring(equals + 1));
            }
        }
        return fallback;
    }

    @Override
    public String header(String name) {
        Header header = mRequest.getFirstHeader(name);
        return header == null || header.getValue() == null ? "" : header.getValue();
    }

    @Override
    public byte[] body() {
        if (mBody.length != mBodyLength) {
            mBody = Arrays.copyOf(mBody, mBodyLength);
        }
        return mBody;
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        if (mAnswered.compareAndSet(false, true)) {
            mResponse.write(body);
            mResponse.end();
            sendHead(status, headers, body.length);
        }
    }

    @Override
    public ResponseStream stream(int status, Map<String, String> headers) {
        if (mAnswered.compareAndSet(false, true)) {
            sendHead(status, headers, -1);
        }
        return mResponse;
    }

    @Override
    public void onAbort(Runnable action) {
        synchronized (mAbortLock) {
            if (!mAborted) {
                mAbortAction = action;
                return;
            }
        }
        action.run();
    }

    @Override
    public long sinceNanos() {
        return mSinceNanos;
    }

    @Override
    public OpenConnections.Connection connection() {
        return mServer.connections().find(mContext.getEndpointDetails());
    }

    @Override
    public void cutOff() {
        refuse(408, "request_timeout", "The request did not arrive whole within its time.");
    }

    private void splitTarget(String target) {
        int question = target.indexOf('?');
        mPath = question < 0 ? target : target.substring(0, question);
        mQuery = question < 0 ? "" : target.substring(question + 1);
    }

    private void expectBody(HttpRequest request, EntityDetails entity)
            throws HttpException, IOException {
        long length = entity.getContentLength();
        int first = (int) Math.clamp(length, 0, FIRST_BODY_BYTES);
        if (!growBody(first == 0 ? FIRST_BODY_BYTES : first)) {
            refuseForRoom();
            return;
        }
        if (request.containsHeader("Expect")) {
            mChannel.sendInformation(new BasicHttpResponse(100), mContext);
        }
    }

    /** Makes room for a body of this length; returns false when the server has none. */
    private boolean growBody(int needed) {
        int capacity = Math.max(needed, mBody.length * 2);
        if (!mServer.hold(capacity - mHeldBytes)) {
            return false;
        }
        mHeldBytes = capacity;
        mBody = Arrays.copyOf(mBody, capacity);
        return true;
    }

    private void arrived() {
        if (mArriving) {
            mArriving = false;
            mServer.arriving().remove(this);
        }
    }

    private void run() {
        mStarted = true;
        if (mConnection != null && mConnection.begin(mOnPeerClosed) > MAX_PIPELINED && !isHttp2()) {
            mConnection.close();
            return;
        }
        try {
            mServer.handler().handle(this);
        } catch (RuntimeException e) {
            mServer.countHandlerFailure(e);
            JsonError.respond(this, 500, "internal_error", "The request failed in this process.");
        }
    }

    private void refuseForRoom() {
        refuse(503, "overloaded", "Too many bodies are in hand; send it again later.");
    }

    private void refuseBody() {
        mServer.countBodyTooLarge();
        String most = "The body is longer than " + mServer.settings().maxBodyBytes() + " bytes.";
        refuse(413, "body_too_large", most);
    }

    /** Answers with an error and ends the connection: what still comes of the request is noise. */
    private void refuse(int status, String type, String message) {
        JsonError.respond(this, status, type, message, isHttp2() ? Map.of() : HttpServer.CLOSE);
    }

    private void discard(ByteBuffer data) throws IOException {
        mBody = NO_BODY;
        mBodyLength = 0;
        mDiscarded += data.remaining();
        data.position(data.limit());
        if (mDiscarded > (long) DISCARD_FACTOR * mServer.settings().maxBodyBytes()) {
            throw new ConnectionClosedException("The body that was refused goes on without end.");
        }
    }

    private void sendHead(int status, Map<String, String> headers, long length) {
        BasicHttpResponse response = new BasicHttpResponse(status);
        headers.forEach(response::addHeader);
        if (mServer.isDraining() && !isHttp2()) {
            response.setHeader("Connection", "close");
        }
        boolean hasBody = !method().equals("HEAD") && status != 204 && status != 304;
        EntityDetails entity = hasBody ? new BasicEntityDetails(length, null) : null;
        try {
            mChannel.sendResponse(response, entity, mContext);
        } catch (HttpException | IOException | IllegalStateException e) {
            mResponse.markBroken();
            breakOff();
        }
    }

    private void breakOff() {
        if (isHttp2()) {
            mChannel.terminateExchange();
        } else if (mConnection != null) {
            mConnection.close();
        }
    }

    private void peerClosed() {
        if (!mResponse.isEnded()) {
            tellAborted();
            mConnection.close();
        }
    }

    private boolean isHttp2() {
        return mContext.getProtocolVersion().greaterEquals(HttpVersion.HTTP_2);
    }

    private void tellAborted() {
        mResponse.markBroken();
        Runnable action;
        synchronized (mAbortLock) {
            if (mAborted) {
                return;
            }
            mAborted = true;
            action = mAbortAction;
            mAbortAction = null;
        }
        if (action != null) {
            action.run();
        }
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }
}
