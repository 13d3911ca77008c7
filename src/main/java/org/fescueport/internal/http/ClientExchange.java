package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/** One exchange of {@link AsyncHttpCaller}, from the wait for a connection to the answer's end. */
final class ClientExchange
        implements AsyncClientExchangeHandler,
                FutureCallback<AsyncClientEndpoint>,
                HttpCaller.Call {
    /** What is read at the most after the listener has stopped the reading. */
    static final int WINDOW_BYTES = 65_535;

    private enum State {
        /** No byte of the request was handed to a connection. */
        UNSENT,
        /** The request may have reached the server. */
        SENT,
        /** The listener was told the end, or the call was cancelled. */
        DONE
    }

    private final HttpRequest mRequest;
    private final String mUrl;
    private final ByteBuffer mBody;
    private final HttpCaller.StreamListener mListener;
    private final OpenConnections mConnections;
    private final AtomicReference<State> mState = new AtomicReference<>(State.UNSENT);
    private final AtomicBoolean mReleased = new AtomicBoolean();
    private final Object mReadLock = new Object();
    private volatile AsyncClientEndpoint mEndpoint;
    private volatile OpenConnections.Connection mConnection;
    private volatile Exception mBreakCause;
    private volatile Future<?> mTimer;
    private volatile boolean mClosing;

    /**
     * Whether only the end of the connection marks the end of the answer. If part of the request is
     * still to be written then, the connection broke, and the answer may be incomplete.
     */
    private boolean mEndsWithConnection;

    private CapacityChannel mCapacity;
    private int mUnreadCredit;
    private boolean mReading = true;

    ClientExchange(
            HttpRequest request,
            String url,
            byte[] body,
            HttpCaller.StreamListener listener,
            OpenConnections connections) {
        mRequest = request;
        mUrl = url;
        mBody = ByteBuffer.wrap(body);
        mListener = listener;
        mConnections = connections;
    }

    void setTimer(Future<?> timer) {
        mTimer = timer;
        if (mState.get() == State.DONE) {
            timer.cancel(false);
        }
    }

    /** Ends the call because its time is over. */
    void timeOut() {
        breakOff(new TimeoutException("The answer was not whole in time."));
    }

    @Override
    public void completed(AsyncClientEndpoint endpoint) {
        mEndpoint = endpoint;
        if (mState.get() == State.DONE) {
            release(true);
            return;
        }
        endpoint.execute(this, HttpCoreContext.create());
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        HttpCoreContext core = HttpCoreContext.cast(context);
        mConnection = mConnections.find(core.getEndpointDetails());
        if (mConnection != null) {
            // The pool sets the time limit of connecting as the longest silence of a connection.
            mConnection.allowSilence();
        }
        if (!mState.compareAndSet(State.UNSENT, State.SENT)) {
            throw new ConnectionClosedException("The call was cancelled before it was sent.");
        }
        EntityDetails entity =
                mBody.hasRemaining() ? new BasicEntityDetails(mBody.remaining(), null) : null;
        channel.sendRequest(mRequest, entity, context);
    }

    @Override
    public int available() {
        return mBody.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        channel.write(mBody);
        if (!mBody.hasRemaining()) {
            channel.endStream();
        }
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {}

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
        if (mState.get() == State.DONE) {
            return;
        }
        Header connection = response.getFirstHeader("Connection");
        mClosing = connection != null && connection.getValue().equalsIgnoreCase("close");
        for (Header header : response.getHeaders()) {
            mListener.onHeader(header.getName(), header.getValue());
        }
        Header type = response.getFirstHeader("Content-Type");
        mListener.onHead(response.getCode(), type == null ? "" : type.getValue());
        mEndsWithConnection =
                entity != null
                        && entity.getContentLength() < 0
                        && entity.getContentLength() != ContentLengthStrategy.CHUNKED;
        if (entity == null) {
            finish();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        synchronized (mReadLock) {
            mCapacity = channel;
            grantCredit();
        }
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        int length = data.remaining();
        if (mState.get() != State.DONE) {
            mListener.onData(data);
        }
        data.position(data.limit());
        synchronized (mReadLock) {
            mUnreadCredit += length;
            grantCredit();
            stopReadingAtWindow();
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (mEndsWithConnection && mBody.hasRemaining()) {
            fail(new ConnectionClosedException("The connection ended inside the request."));
        } else {
            finish();
        }
    }

    @Override
    public void failed(Exception cause) {
        Exception known = mBreakCause;
        fail(known == null ? cause : known);
    }

    @Override
    public void cancelled() {
        fail(new ConnectionClosedException("The wait for a connection was cancelled."));
    }

    @Override
    public void releaseResources() {
        failed(new ConnectionClosedException("The connection was closed before the answer."));
        release(false);
    }

    @Override
    public void cancel() {
        State before = mState.getAndSet(State.DONE);
        stopTimer();
        if (before == State.SENT) {
            closeConnection();
        }
    }

    @Override
    public void setReading(boolean reading) {
        synchronized (mReadLock) {
            mReading = reading;
            try {
                grantCredit();
            } catch (IOException e) {
                breakOff(e);
            }
        }
    }

    /** The connection's own thread tells the listener, so that calls to it never overlap. */
    private void breakOff(Exception cause) {
        mBreakCause = cause;
        if (mState.get() == State.SENT && mConnection != null) {
            closeConnection();
        } else {
            fail(cause);
        }
    }

    private void finish() {
        leaveGateOpen();
        release(!mClosing);
        if (mState.getAndSet(State.DONE) != State.DONE) {
            stopTimer();
            mListener.onEnd();
        }
    }

    private void fail(Exception cause) {
        State before = mState.getAndSet(State.DONE);
        if (before == State.DONE) {
            return;
        }
        stopTimer();
        String message = mRequest.getMethod() + " " + mUrl + " failed: " + cause;
        mListener.onFailed(
                before == State.UNSENT
                        ? HttpCallException.notSent(message, cause)
                        : HttpCallException.maybeSent(message, cause));
    }

    private void grantCredit() throws IOException {
        if (mReading && mCapacity != null && mUnreadCredit > 0) {
            int credit = mUnreadCredit;
            mUnreadCredit = 0;
            if (mConnection != null) {
                mConnection.resumeReading();
            }
            mCapacity.update(credit);
        }
    }

    /** The connection's next exchange starts reading, and this one has no say any more. */
    private void leaveGateOpen() {
        synchronized (mReadLock) {
            mCapacity = null;
            if (mConnection != null) {
                mConnection.resumeReading();
            }
        }
    }

    /** Only at the window's end, where the library has stopped to wait for data as well. */
    private void stopReadingAtWindow() {
        if (mUnreadCredit >= WINDOW_BYTES && mConnection != null) {
            mConnection.stopReading();
        }
    }

    private void closeConnection() {
        OpenConnections.Connection connection = mConnection;
        if (connection != null) {
            connection.close();
        }
    }

    private void release(boolean reuse) {
        AsyncClientEndpoint endpoint = mEndpoint;
        if (endpoint == null || !mReleased.compareAndSet(false, true)) {
            return;
        }
        if (reuse) {
            endpoint.releaseAndReuse();
        } else {
            endpoint.releaseAndDiscard();
        }
    }

    private void stopTimer() {
        Future<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
