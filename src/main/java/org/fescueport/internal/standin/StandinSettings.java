package org.fescueport.internal.standin;

import io.micrometer.core.instrument.Clock;
import java.net.URI;
import java.util.Optional;
import org.fescueport.internal.telemetry.Telemetry;

/**
 * Address and initial state of a stand-in.
 *
 * @param port port to listen on; 0 for any free one
 * @param faults initial faults
 * @param seed seed of the random decisions on faults
 * @param collector address to which an engine sends its spans; empty for none
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

    /** Returns a copy with another collector. */
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
