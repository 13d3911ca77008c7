package org.fescueport.internal.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import org.fescueport.internal.security.TlsFiles;

/**
 * Settings that routers and agents share.
 *
 * @param node name of the VM
 * @param adminListen where operators' resources are offered
 * @param tokenKeys keys that sign what callers bring back
 * @param tls for connections between processes of the fleet; absent for plain TCP
 */
public record NodeSettings(
        String node,
        String failureDomain,
        InetSocketAddress listen,
        InetSocketAddress adminListen,
        URI logUrl,
        URI vmsUrl,
        Optional<URI> tracesUrl,
        String tokenKeys,
        Optional<TlsFiles> tls) {
    /** Prints where a node listens, in the two lines that scripts read. */
    public void announce(int port, int adminPort) {
        System.out.println("listening " + listen.getHostString() + ":" + port);
        System.out.println("admin " + adminListen.getHostString() + ":" + adminPort);
    }
}
