package org.fescueport.internal.wire;

/** Names of the calls between processes of the fleet. */
public final class PeerCalls {
    /** Records of the configuration from an offset: eight bytes, the most significant first. */
    public static final String CONFIG_RECORDS = "config-records";

    /** Asks for any reply, to tell a slow agent from a dead or frozen one; empty. */
    public static final String PROBE = "probe";

    private PeerCalls() {}
}
