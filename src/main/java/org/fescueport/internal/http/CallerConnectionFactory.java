package org.fescueport.internal.http;

import java.io.IOException;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.NHttpMessageWriter;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.apache.hc.core5.http.nio.ssl.BasicClientTlsStrategy;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.EndpointParameters;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.fescueport.internal.http1.HeadLines;

/**
 * Creates connections of a caller that end at the first byte that arrives while no answer is due,
 * even if it is only the beginning of one, and at the first line that HTTP/1.1 does not allow in an
 * answer.
 */
final class CallerConnectionFactory implements IOEventHandlerFactory {
    private final HttpProcessor mProcessor;
    private final Http1Config mConfig;

    private CallerConnectionFactory(HttpProcessor processor, Http1Config config) {
        mProcessor = processor;
        mConfig = config;
    }

    static CallerConnectionFactory of(HttpProcessor processor, Http1Config config) {
        return new CallerConnectionFactory(processor, config);
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        var due = new DueAnswer();
        var parsers = new DefaultHttpResponseParserFactory(mConfig);
        var writers = new DefaultHttpRequestWriterFactory(mConfig);
        var parser = new StrictParser(WholeHeadParser.of(parsers.create()), due);
        var writer = new NotingWriter(writers.create(), due);
        startTls(session, attachment);
        return new ClientHttp1IOEventHandler(new Streams(session, parser, writer));
    }

    /** Starts TLS as the library's own factory does, which cannot be given other streams. */
    private static void startTls(ProtocolIOSession session, Object attachment) {
        if (attachment instanceof EndpointParameters endpoint
                && URIScheme.HTTPS.same(endpoint.getScheme())) {
            new BasicClientTlsStrategy()
                    .upgrade(session, endpoint, endpoint.getAttachment(), null, null);
        }
    }

    private final class Streams extends ClientHttp1StreamDuplexer {
        private Streams(
                ProtocolIOSession session,
                NHttpMessageParser<HttpResponse> parser,
                NHttpMessageWriter<HttpRequest> writer) {
            super(
                    session,
                    mProcessor,
                    mConfig,
                    CharCodingConfig.DEFAULT,
                    null,
                    parser,
                    writer,
                    null,
                    null,
                    null);
        }

        @Override
        protected ContentDecoder createContentDecoder(
                long length,
                ReadableByteChannel channel,
                SessionInputBuffer buffer,
                BasicHttpTransportMetrics metrics)
                throws HttpException {
            SessionInputBuffer lines =
                    CheckedLines.ofBody(length, WholeChunkLines.of(length, buffer));
            return super.createContentDecoder(length, channel, lines, metrics);
        }
    }

    /** Whether a request was written whose answer has not begun; of one connection's thread. */
    private static final class DueAnswer {
        private boolean mIsDue;
    }

    private static final class StrictParser implements NHttpMessageParser<HttpResponse> {
        private final NHttpMessageParser<HttpResponse> mParser;
        private final DueAnswer mDue;
        private HeadLines mLines = HeadLines.create();

        private StrictParser(NHttpMessageParser<HttpResponse> parser, DueAnswer due) {
            mParser = parser;
            mDue = due;
        }

        @Override
        public void reset() {
            mParser.reset();
        }

        @Override
        public HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream)
                throws IOException, HttpException {
            if (!mDue.mIsDue && buffer.hasData()) {
                throw new ProtocolException("Bytes arrived that belong to no answer.");
            }
            HttpResponse response = mParser.parse(CheckedLines.ofHead(mLines, buffer), endOfStream);
            if (response != null) {
                mLines = HeadLines.create();
            }
            if (response != null && response.getCode() >= HttpStatus.SC_SUCCESS) {
                mDue.mIsDue = false;
            }
            return response;
        }
    }

    private static final class NotingWriter implements NHttpMessageWriter<HttpRequest> {
        private final NHttpMessageWriter<HttpRequest> mWriter;
        private final DueAnswer mDue;

        private NotingWriter(NHttpMessageWriter<HttpRequest> writer, DueAnswer due) {
            mWriter = writer;
            mDue = due;
        }

        @Override
        public void reset() {
            mWriter.reset();
        }

        @Override
        public void write(HttpRequest request, SessionOutputBuffer buffer)
                throws IOException, HttpException {
            mDue.mIsDue = true;
            mWriter.write(request, buffer);
        }
    }
}
