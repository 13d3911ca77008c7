package org.fescueport.internal.standin;

/**
 * Where a stand-in listens and how it begins.
 *
 * @param port 0 takes a free port
 * @param faults faults that are switched on from the start
 * @param seed of the chance by which faults strike
 */
public record StandinSettings(String host, int port, Faults faults, long seed) {
    /** Returns settings without faults. */
    public static StandinSettings of(String host, int port) {
        return new StandinSettings(host, port, Faults.none(), 1);
    }

    /** Returns a copy with another port. */
    StandinSettings withPort(int other) {
        return new StandinSettings(host, other, faults, seed);
    }

    FaultSwitch newFaultSwitch() {
        return FaultSwitch.create(faults, seed);
    }
}
