package org.fescueport.port;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of VMs, which lags behind what is so.
 *
 * <p>Futures fail with {@link PlatformException}.
 */
public interface VmList {
    /** What the platform says of a VM. */
    enum State {
        /** In service. */
        LIVE,
        /** Will be stopped; gets no new work. */
        LEAVING
    }

    /**
     * One VM.
     *
     * @param labels set by the platform when the VM was made: {@code role} is {@code router} or
     *     {@code agent}; {@code port} is the port of the process of this system; {@code pool} names
     *     the set of identical backend servers that an agent's VM belongs to
     */
    record Vm(
            String id,
            String address,
            String failureDomain,
            State state,
            Map<String, String> labels) {}

    /** Returns the list as the platform has it now. */
    CompletableFuture<List<Vm>> list();
}
