package org.fescueport.internal.http;

import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.DefaultDisposalCallback;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * An HTTP/1.1 client that keeps a bounded pool of connections for each host.
 *
 * <pre>{@code
 * try (HttpCaller caller = AsyncHttpCaller.create(HttpCallerSettings.defaults())) {
 *     caller.call(new HttpCaller.Request("GET", url, Map.of(), new byte[0], timeout)).join();
 * }
 * }</pre>
 */
public final class AsyncHttpCaller implements HttpCaller {
    private static final HttpProcessor PROCESSOR =
            HttpProcessorBuilder.create()
                    .addAll(
                            RequestTargetHost.INSTANCE,
                            RequestContent.INSTANCE,
                            RequestConnControl.INSTANCE)
                    .build();
    private static final int FIRST_BODY_BYTES = 1024;

    private final HttpCallerSettings mSettings;
    private final OpenConnections mConnections = OpenConnections.ofCaller();
    private final HttpAsyncRequester mRequester;
    private final ScheduledThreadPoolExecutor mTimer;

    private AsyncHttpCaller(HttpCallerSettings settings) {
        mSettings = settings;
        mRequester = createRequester();
        mTimer =
                new ScheduledThreadPoolExecutor(
                        1, Thread.ofPlatform().daemon().name("http-call-timer-").factory());
        mTimer.setRemoveOnCancelPolicy(true);
    }

    /** Starts a caller. */
    public static AsyncHttpCaller create(HttpCallerSettings settings) {
        AsyncHttpCaller caller = new AsyncHttpCaller(settings);
        caller.mRequester.start();
        return caller;
    }

    @Override
    public CompletableFuture<Response> call(Request request) {
        Gatherer gatherer = new Gatherer(mSettings.maxBodyBytes());
        gatherer.mCall = stream(request, gatherer);
        return gatherer.mFuture;
    }

    @Override
    public Call stream(Request request, StreamListener listener) {
        URI uri = URI.create(request.url());
        HttpHost host = new HttpHost(uri.getScheme(), uri.getHost(), uri.getPort());
        String target = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        String query = uri.getRawQuery();
        BasicHttpRequest head =
                new BasicHttpRequest(
                        request.method(), host, query == null ? target : target + "?" + query);
        request.headers().forEach(head::addHeader);
        ClientExchange exchange =
                new ClientExchange(head, request.url(), request.body(), listener, mConnections);
        exchange.setTimer(
                mTimer.schedule(
                        exchange::timeOut, request.timeout().toNanos(), TimeUnit.NANOSECONDS));
        var unused =
                mRequester.connect(host, Timeout.of(mSettings.connectTimeout()), null, exchange);
        return exchange;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mRequester.close(CloseMode.IMMEDIATE);
    }

    /** Returns the number of open connections. */
    int openConnections() {
        return mConnections.size();
    }

    private HttpAsyncRequester createRequester() {
        var config = Http1Config.custom().setInitialWindowSize(ClientExchange.WINDOW_BYTES).build();
        var reactor =
                IOReactorConfig.custom()
                        .setIoThreadCount(mSettings.ioThreads())
                        .setTcpNoDelay(true)
                        .setSoKeepAlive(true)
                        .build();
        return new HttpAsyncRequester(
                reactor,
                CallerConnectionFactory.of(PROCESSOR, config),
                mConnections::gate,
                failure -> {},
                mConnections,
                createPool(),
                null,
                null,
                null,
                null);
    }

    private StrictConnPool<HttpHost, IOSession> createPool() {
        return new StrictConnPool<>(
                mSettings.maxConnectionsPerHost(),
                mSettings.maxConnections(),
                Timeout.of(mSettings.keepAlive()),
                PoolReusePolicy.LIFO,
                new DefaultDisposalCallback<>(),
                null);
    }

    /** Gathers a whole answer within a bound. */
    private static final class Gatherer implements StreamListener {
        private final CompletableFuture<Response> mFuture = new CompletableFuture<>();
        private final int mMaxBytes;
        private volatile Call mCall;
        private byte[] mBody = new byte[FIRST_BODY_BYTES];
        private int mLength;
        private int mStatus;
        private String mContentType = "";
        private String mEntityTag = "";

        private Gatherer(int maxBytes) {
            mMaxBytes = maxBytes;
        }

        @Override
        public void onHead(int status, String contentType) {
            mStatus = status;
            mContentType = contentType;
        }

        @Override
        public void onHeader(String name, String value) {
            if ("ETag".equalsIgnoreCase(name)) {
                mEntityTag = value;
            }
        }

        @Override
        public void onData(ByteBuffer data) {
            int more = data.remaining();
            if (mLength + more > mMaxBytes) {
                refuse();
                return;
            }
            if (mLength + more > mBody.length) {
                mBody = Arrays.copyOf(mBody, Math.max(2 * mBody.length, mLength + more));
            }
            data.get(mBody, mLength, more);
            mLength += more;
        }

        @Override
        public void onEnd() {
            byte[] body = Arrays.copyOf(mBody, mLength);
            mFuture.complete(new Response(mStatus, mContentType, body, mEntityTag));
        }

        @Override
        public void onFailed(HttpCallException failure) {
            mFuture.completeExceptionally(failure);
        }

        private void refuse() {
            Call call = mCall;
            if (call != null) {
                call.cancel();
            }
            mFuture.completeExceptionally(
                    HttpCallException.maybeSent(
                            "The answer is longer than " + mMaxBytes + " bytes.", null));
        }
    }
}
