package org.fescueport.internal.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import javax.net.ssl.SSLException;
import org.fescueport.internal.wire.generated.Frame;

/**
 * Opens and accepts connections that carry {@link Frame}s.
 *
 * <pre>{@code
 * var transport = FrameTransport.create(2, tls::server, tls::client, tls::onRefused);
 * transport.listen(address, listener);
 * transport.connect(peer, listener).thenAccept(connection -> connection.send(frame));
 * }</pre>
 */
public final class FrameTransport implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final Duration QUIET_PERIOD = Duration.ZERO;
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

    private final EventLoopGroup mGroup;

    /** All open channels; one that joins after {@link #close} is closed at once. */
    private final ChannelGroup mChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

    private final Supplier<Optional<SslContext>> mServerTls;
    private final Supplier<Optional<SslContext>> mClientTls;
    private final Consumer<WireException> mOnRefused;
    private final AtomicLong mSentBytes = new AtomicLong();

    private FrameTransport(
            int threads,
            Supplier<Optional<SslContext>> serverTls,
            Supplier<Optional<SslContext>> clientTls,
            Consumer<WireException> onRefused) {
        mGroup = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        mServerTls = serverTls;
        mClientTls = clientTls;
        mOnRefused = onRefused;
    }

    /**
     * Returns a transport with this many I/O threads. The TLS contexts are asked for at each new
     * connection, so that renewed certificates need no restart; empty means plain TCP.
     *
     * @param onRefused told of each connection that one side refused; called on I/O threads
     */
    public static FrameTransport create(
            int threads,
            Supplier<Optional<SslContext>> serverTls,
            Supplier<Optional<SslContext>> clientTls,
            Consumer<WireException> onRefused) {
        return new FrameTransport(threads, serverTls, clientTls, onRefused);
    }

    /** Accepts connections and returns the address, with the port that was taken. */
    public InetSocketAddress listen(InetSocketAddress address, FrameListener listener) {
        var bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(listener, mServerTls, null));
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw WireException.of(
                    "cannot listen on " + address + ": choose a free port", bound.cause());
        }
        mChannels.add(bound.channel());
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /** Opens a connection; the future fails with {@link WireException}. */
    public CompletableFuture<FrameConnection> connect(
            InetSocketAddress address, FrameListener listener) {
        var result = new CompletableFuture<FrameConnection>();
        var bootstrap =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(initializer(listener, mClientTls, result));
        bootstrap
                .connect(address)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                result.completeExceptionally(
                                        WireException.of(
                                                "cannot connect to " + address, done.cause()));
                            }
                        });
        return result;
    }

    /** Returns the bytes of all frames sent so far, without TCP and TLS. */
    public long sentBytes() {
        return mSentBytes.get();
    }

    @Override
    public void close() {
        // An event loop that ends without a quiet period may leave channels open.
        mChannels.close().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
        mGroup.shutdownGracefully(
                        QUIET_PERIOD.toMillis(), CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    private ChannelInitializer<Channel> initializer(
            FrameListener listener,
            Supplier<Optional<SslContext>> tls,
            CompletableFuture<FrameConnection> opened) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                mChannels.add(channel);
                var pipeline = channel.pipeline();
                var context = tls.get();
                context.ifPresent(it -> pipeline.addLast(it.newHandler(channel.alloc())));
                pipeline.addLast(new FlushConsolidationHandler(64, true));
                pipeline.addLast(new FrameLengthLimit());
                pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
                pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
                pipeline.addLast(new ProtobufEncoder());
                pipeline.addLast(receiver(listener, opened, context.isPresent()));
            }
        };
    }

    private Receiver receiver(
            FrameListener listener, CompletableFuture<FrameConnection> opened, boolean isTls) {
        return new Receiver(listener, opened, isTls, mOnRefused, mSentBytes);
    }

    private static final class Receiver extends SimpleChannelInboundHandler<Frame> {
        private final FrameListener mListener;
        private final CompletableFuture<FrameConnection> mOpened;
        private final boolean mIsTls;
        private final Consumer<WireException> mOnRefused;
        private final AtomicLong mSentBytes;
        private FrameConnection mConnection;

        private Receiver(
                FrameListener listener,
                CompletableFuture<FrameConnection> opened,
                boolean isTls,
                Consumer<WireException> onRefused,
                AtomicLong sentBytes) {
            mListener = listener;
            mOpened = opened;
            mIsTls = isTls;
            mOnRefused = onRefused;
            mSentBytes = sentBytes;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!mIsTls) {
                open(context);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (!(event instanceof SslHandshakeCompletionEvent handshake)) {
                context.fireUserEventTriggered(event);
            } else if (handshake.isSuccess()) {
                open(context);
            } else {
                refuse(context, handshake.cause());
            }
        }

        private void open(ChannelHandlerContext context) {
            mConnection = FrameConnection.of(context.channel(), mSentBytes);
            mListener.onOpen(mConnection);
            if (mOpened != null) {
                mOpened.complete(mConnection);
            }
        }

        private void refuse(ChannelHandlerContext context, Throwable cause) {
            var peer = context.channel().remoteAddress();
            var failure = WireException.of("no TLS connection with " + peer, cause);
            mOnRefused.accept(failure);
            if (mOpened != null) {
                mOpened.completeExceptionally(failure);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            mListener.onFrame(mConnection, frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mConnection != null) {
                mListener.onClosed(mConnection);
            } else if (mOpened != null) {
                mOpened.completeExceptionally(
                        WireException.of("the connection was closed before it was open", null));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A peer refuses our certificate only after our side of the handshake is over.
            if (mConnection != null && cause.getCause() instanceof SSLException alert) {
                refuse(context, alert);
            }
            // A broken frame or connection costs this connection only; onClosed tells its owner.
            context.close();
        }
    }
}
