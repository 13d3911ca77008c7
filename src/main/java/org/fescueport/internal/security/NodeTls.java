package org.fescueport.internal.security;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.ssl.SslContext;
import java.util.Optional;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;

/**
 * The TLS of one process: between processes of the fleet, and towards callers.
 *
 * <pre>{@code
 * var tls = NodeTls.create(fleetFiles, callerFiles, clock, registry);
 * var transport = FrameTransport.create(1, tls::server, tls::client, tls::onRefused);
 * Worker.periodic("tls-files", NodeTls.LOOK_INTERVAL, timers, tls::look);
 * }</pre>
 */
public final class NodeTls {
    /** Time between two looks at the files. */
    public static final java.time.Duration LOOK_INTERVAL = java.time.Duration.ofSeconds(5);

    private final Optional<RenewedTls<TlsContexts.Fleet>> mFleet;
    private final Optional<RenewedTls<SSLContext>> mCallers;
    private final RefusedPeers mRefused;

    private NodeTls(
            Optional<RenewedTls<TlsContexts.Fleet>> fleet,
            Optional<RenewedTls<SSLContext>> callers,
            RefusedPeers refused) {
        mFleet = fleet;
        mCallers = callers;
        mRefused = refused;
    }

    /** Reads the files; throws {@link IllegalStateException} when one is bad. */
    public static NodeTls create(
            Optional<TlsFiles> fleet,
            Optional<TlsFiles> callers,
            Clock clock,
            MeterRegistry registry) {
        return new NodeTls(
                fleet.map(
                        files ->
                                RenewedTls.start(
                                        "fleet", files, TlsContexts::fleet, clock, registry)),
                callers.map(
                        files ->
                                RenewedTls.start(
                                        "callers", files, TlsContexts::callers, clock, registry)),
                RefusedPeers.create(clock, registry));
    }

    /** Returns the context for a connection that the fleet accepts; empty for plain TCP. */
    public Optional<SslContext> server() {
        return mFleet.map(tls -> tls.current().server());
    }

    /** Returns the context for a connection that we open in the fleet; empty for plain TCP. */
    public Optional<SslContext> client() {
        return mFleet.map(tls -> tls.current().client());
    }

    /** Returns what gives the context for a caller's new connection; empty for plain TCP. */
    public Optional<Supplier<SSLContext>> callers() {
        return mCallers.map(tls -> tls::current);
    }

    /** Counts a connection that one side refused. */
    public void onRefused(Throwable failure) {
        mRefused.onRefused(failure);
    }

    /** Looks at the files and uses new ones; to be called by one thread at a time. */
    public void look() {
        mFleet.ifPresent(RenewedTls::look);
        mCallers.ifPresent(RenewedTls::look);
        mRefused.look();
    }
}
