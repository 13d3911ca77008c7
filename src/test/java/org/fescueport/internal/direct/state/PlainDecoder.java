package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.direct.config.CallerLimits;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.config.KeyPolicy;
import org.fescueport.internal.direct.config.RouteTable;

/** Decodes a configuration from its version, and a replica of the only pool from its state. */
public final class PlainDecoder implements StateDecoder {
    public static final PoolId POOL = PoolId.of("llm");
    private static final int SLOTS = 8;

    /** Remaining warm-up time of a replica whose state is "cold". */
    public static final long COLD_MS = 3_000;

    /** A value on which decoding fails in an unexpected way. */
    static final String FAULTY = "faulty";

    private static final double COLD_RATE = 10;

    @Override
    public boolean isConfiguration(String key) {
        return key.equals("config");
    }

    @Override
    public Optional<FailureDomain> drainedDomain(String key) {
        return key.startsWith("drain-")
                ? Optional.of(FailureDomain.of(key.substring("drain-".length())))
                : Optional.empty();
    }

    @Override
    public FleetConfiguration configuration(byte[] value) throws UnusableRecordException {
        if (text(value).equals(FAULTY)) {
            throw new IllegalStateException("a fault of the decoder");
        }
        try {
            long version = Long.parseLong(text(value));
            var routes = RouteTable.of(List.of());
            return new FleetConfiguration(
                    version,
                    routes,
                    KeyPolicy.notRequired(),
                    Map.of(),
                    Map.of(POOL, COLD_RATE),
                    Map.of(),
                    CallerLimits.defaults());
        } catch (NumberFormatException e) {
            throw UnusableRecordException.of("no number");
        }
    }

    @Override
    public NodeRecord node(byte[] value) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ReplicaEntry replica(String key, byte[] value) throws UnusableRecordException {
        if (text(value).equals("unusable")) {
            throw UnusableRecordException.of("unusable");
        }
        if (text(value).equals(FAULTY)) {
            throw new IllegalStateException("a fault of the decoder");
        }
        return new ReplicaEntry(
                NodeId.of(key),
                POOL,
                new InetSocketAddress(80),
                FailureDomain.of(text(value).equals("south") ? "south" : "north"),
                slots(text(value)),
                text(value).equals("leaving"),
                0,
                0,
                text(value).equals("cold") ? WarmUpTime.ofMillis(COLD_MS) : WarmUpTime.warm());
    }

    /** The number of slots may follow the state, as in "ready32". */
    private static int slots(String text) {
        String number = text.replaceAll("[a-z]", "");
        return number.isEmpty() ? SLOTS : Integer.parseInt(number);
    }

    private static String text(byte[] value) {
        return new String(value, StandardCharsets.UTF_8);
    }
}
