package org.fescueport.internal.standin;

import io.micrometer.core.instrument.Clock;
import java.net.URI;
import java.util.Optional;
import org.fescueport.internal.telemetry.Telemetry;

/**
 * Where a stand-in listens and how it begins.
 *
 * @param port 0 takes a free port
 * @param faults faults that are switched on from the start
 * @param seed of the chance by which faults strike
 * @param collector where an engine sends its spans; empty for nowhere
 */
public record StandinSettings(
        String host, int port, Faults faults, long seed, Optional<URI> collector) {
    /** Returns settings without faults. */
    public static StandinSettings of(String host, int port) {
        return new StandinSettings(host, port, Faults.none(), 1, Optional.empty());
    }

    /** Returns a copy with another port. */
    StandinSettings withPort(int other) {
        return new StandinSettings(host, other, faults, seed, collector);
    }

    /** Returns a copy whose spans go to another collector. */
    StandinSettings withCollector(String address) {
        var url = Optional.of(URI.create("http://" + address));
        return new StandinSettings(host, port, faults, seed, url);
    }

    Telemetry newTelemetry(String program) {
        return Telemetry.create(program, host + ":" + port, collector, Clock.SYSTEM);
    }

    FaultSwitch newFaultSwitch() {
        return FaultSwitch.create(faults, seed);
    }
}
