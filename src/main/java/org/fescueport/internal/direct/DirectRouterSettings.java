package org.fescueport.internal.direct;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.admission.LoadBalancerTimes;
import org.fescueport.internal.decision.placement.SharedReplicas;

/**
 * What a router that reaches replicas directly is told at its start.
 *
 * @param node name of this process
 * @param domain failure domain of its machine; its name is empty if unknown
 * @param callers where callers are served
 * @param admin where health is asked for
 * @param peers where other nodes connect
 * @param seeds addresses of a few nodes, which may be gone
 * @param metrics where counters are read; absent for the admin address
 * @param readyPath on which the health check asks
 * @param metricsPath on which counters are served
 * @param retryShare retries for each request that the whole fleet may send
 * @param retryAllowance retries in a window that the fleet may send beyond the share
 * @param retryWindow in which those are counted
 * @param leaveBound longest time a replica may be used after it was told to leave
 * @param heartbeat interval at which live replicas write their entries
 * @param loadBalancer what this node may rely on of the load balancer before it
 * @param stopTime from the signal to stop until the process is ended by force
 * @param limits what callers may take of this process
 * @param sharedReplicas how it is known that replicas are short of capacity at times
 */
public record DirectRouterSettings(
        String node,
        FailureDomain domain,
        InetSocketAddress callers,
        InetSocketAddress admin,
        InetSocketAddress peers,
        List<InetSocketAddress> seeds,
        Optional<InetSocketAddress> metrics,
        String readyPath,
        String metricsPath,
        double retryShare,
        double retryAllowance,
        Duration retryWindow,
        Duration leaveBound,
        Duration heartbeat,
        LoadBalancerTimes loadBalancer,
        Duration stopTime,
        MachineLimits limits,
        SharedReplicas sharedReplicas) {
    public DirectRouterSettings {
        seeds = List.copyOf(seeds);
    }
}
