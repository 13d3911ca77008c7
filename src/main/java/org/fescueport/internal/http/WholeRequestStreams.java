package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ProtocolUpgradeHandler;

/** The HTTP/1.1 exchanges of one connection of a server; no request ends inside its chunks. */
final class WholeRequestStreams extends ServerHttp1StreamDuplexer {
    /** What the connections of one server share. */
    record Settings(
            HttpProcessor processor,
            HandlerFactory<AsyncServerExchangeHandler> exchanges,
            Http1Config config,
            Callback<Exception> onError) {}

    private WholeRequestStreams(
            ProtocolIOSession session,
            URIScheme scheme,
            Settings settings,
            NHttpMessageParser<HttpRequest> parser) {
        super(
                session,
                settings.processor(),
                settings.exchanges(),
                scheme.id,
                settings.config(),
                CharCodingConfig.DEFAULT,
                DefaultConnectionReuseStrategy.INSTANCE,
                parser,
                new DefaultHttpResponseWriterFactory(settings.config()).create(),
                null,
                null,
                null,
                settings.onError());
    }

    /** Returns the start of HTTP/1.1 on a connection whose protocol is known by then. */
    static ProtocolUpgradeHandler start(Settings settings, NHttpMessageParser<HttpRequest> parser) {
        return (session, callback) -> {
            URIScheme scheme = session.getTlsDetails() == null ? URIScheme.HTTP : URIScheme.HTTPS;
            var streams = new WholeRequestStreams(session, scheme, settings, parser);
            var handler = new ServerHttp1IOEventHandler(streams);
            session.upgrade(handler);
            try {
                handler.connected(session);
            } catch (IOException e) {
                handler.exception(session, e);
                return;
            }
            if (callback != null) {
                callback.completed(session);
            }
        };
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length,
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            BasicHttpTransportMetrics metrics)
            throws HttpException {
        return super.createContentDecoder(
                length, channel, WholeChunkLines.of(length, buffer), metrics);
    }
}
