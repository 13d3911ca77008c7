package org.fescueport.internal.standin;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.http.HttpServer;
import org.fescueport.internal.http.HttpServerSettings;
import org.fescueport.internal.standin.collector.CollectorHandler;
import org.fescueport.internal.standin.engine.EngineHandler;
import org.fescueport.internal.standin.engine.EngineSettings;
import org.fescueport.internal.standin.log.LogHandler;
import org.fescueport.internal.standin.service.ServiceHandler;
import org.fescueport.internal.standin.vms.VmHandler;
import org.fescueport.internal.standin.weights.WeightsHandler;

/**
 * One running stand-in.
 *
 * <pre>{@code
 * var log = Standin.log(StandinSettings.of("127.0.0.1", 0));
 * log.port();
 * }</pre>
 */
public final class Standin {
    private static final int EXIT_CRASHED = 137;
    private static final String UNAVAILABLE = "unavailable";
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(5);

    private final HttpServer mServer;
    private final FaultSwitch mFaults;
    private final BooleanSupplier mIdle;

    private Standin(HttpServer server, FaultSwitch faults, BooleanSupplier idle) {
        mServer = server;
        mFaults = faults;
        mIdle = idle;
    }

    /** Starts a model engine. */
    public static Standin engine(StandinSettings settings, EngineSettings size) {
        var executor = executor();
        var faults = settings.newFaultSwitch();
        Runnable crash = () -> Runtime.getRuntime().halt(EXIT_CRASHED);
        var engine =
                EngineHandler.create(
                        size,
                        Clock.SYSTEM,
                        executor,
                        faults,
                        settings.newTelemetry("standin-engine"),
                        crash);
        var server = start(settings, engine, faults, UNAVAILABLE, executor);
        return new Standin(server, faults, engine::isIdle);
    }

    /** Starts a plain service. */
    public static Standin service(StandinSettings settings) {
        var executor = executor();
        var faults = settings.newFaultSwitch();
        var service = ServiceHandler.create(executor, faults);
        var server = start(settings, service, faults, UNAVAILABLE, executor);
        return new Standin(server, faults, service::isIdle);
    }

    /** Starts a log service. */
    public static Standin log(StandinSettings settings) {
        var faults = settings.newFaultSwitch();
        var log = LogHandler.create(Clock.SYSTEM, faults);
        var server = start(settings, log, faults, "not_appended", executor());
        return new Standin(server, faults, () -> true);
    }

    /** Starts a weight store. */
    public static Standin weights(StandinSettings settings, long artifactBytes) {
        var executor = executor();
        var faults = settings.newFaultSwitch();
        var weights = WeightsHandler.create(artifactBytes, Clock.SYSTEM, executor, faults);
        var server = start(settings, weights, faults, UNAVAILABLE, executor);
        return new Standin(server, faults, () -> true);
    }

    /** Starts a VM list. */
    public static Standin vms(StandinSettings settings) {
        var faults = settings.newFaultSwitch();
        var vms = VmHandler.create(Clock.SYSTEM, faults);
        var server = start(settings, vms, faults, UNAVAILABLE, executor());
        return new Standin(server, faults, () -> true);
    }

    /** Starts a trace collector. */
    public static Standin collector(StandinSettings settings) {
        var faults = settings.newFaultSwitch();
        var server = start(settings, CollectorHandler.create(), faults, UNAVAILABLE, executor());
        return new Standin(server, faults, () -> true);
    }

    /** Returns the address and port as text. */
    public String address() {
        return mServer.address().getAddress().getHostAddress() + ":" + mServer.port();
    }

    /** Makes the health check report that this stand-in is leaving. */
    public void leave() {
        try {
            mFaults.change(Json.object().put("leaving", true));
        } catch (BadRequestException e) {
            throw new IllegalStateException("the fault \"leaving\" is gone", e);
        }
    }

    /** Returns whether no run is in progress. */
    public boolean isIdle() {
        return mIdle.getAsBoolean();
    }

    /** Stops after the responses in progress. */
    public void stop() {
        mServer.drain(DRAIN_LIMIT);
    }

    private static HttpServer start(
            StandinSettings settings,
            HttpHandler handler,
            FaultSwitch faults,
            String outageError,
            ScheduledExecutorService executor) {
        var http = HttpServerSettings.of(settings.host(), settings.port()).withIoThreads(1);
        return HttpServer.start(http, FaultyHandler.create(handler, faults, executor, outageError));
    }

    private static ScheduledExecutorService executor() {
        return Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("standin-").factory());
    }
}
