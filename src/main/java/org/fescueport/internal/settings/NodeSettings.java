package org.fescueport.internal.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;

/**
 * Settings that routers and agents share.
 *
 * @param node name of the VM
 * @param adminListen where operators' resources are offered
 * @param tokenKeys keys that sign what callers bring back
 */
public record NodeSettings(
        String node,
        String failureDomain,
        InetSocketAddress listen,
        InetSocketAddress adminListen,
        URI logUrl,
        URI vmsUrl,
        Optional<URI> tracesUrl,
        String tokenKeys) {}
