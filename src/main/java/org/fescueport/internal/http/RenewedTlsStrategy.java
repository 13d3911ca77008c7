package org.fescueport.internal.http;

import java.net.SocketAddress;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.http2.ssl.H2ServerTlsStrategy;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.ssl.TransportSecurityLayer;
import org.apache.hc.core5.util.Timeout;

/** Asks for the TLS context at each new connection, so that renewed keys need no restart. */
final class RenewedTlsStrategy implements TlsStrategy {
    private final Supplier<SSLContext> mContext;

    private RenewedTlsStrategy(Supplier<SSLContext> context) {
        mContext = context;
    }

    static RenewedTlsStrategy of(Supplier<SSLContext> context) {
        return new RenewedTlsStrategy(context);
    }

    @Override
    public void upgrade(
            TransportSecurityLayer session,
            NamedEndpoint endpoint,
            Object attachment,
            Timeout timeout,
            FutureCallback<TransportSecurityLayer> callback) {
        new H2ServerTlsStrategy(mContext.get())
                .upgrade(session, endpoint, attachment, timeout, callback);
    }

    @Deprecated
    @Override
    public boolean upgrade(
            TransportSecurityLayer session,
            HttpHost host,
            SocketAddress local,
            SocketAddress remote,
            Object attachment,
            Timeout timeout) {
        return new H2ServerTlsStrategy(mContext.get())
                .upgrade(session, host, local, remote, attachment, timeout);
    }
}
