package org.fescueport.internal.wire;

/** Names of the calls between processes of the fleet. */
public final class PeerCalls {
    /** Records of the configuration from an offset: eight bytes, the most significant first. */
    public static final String CONFIG_RECORDS = "config-records";

    /** Asks for any reply, to tell a slow agent from a dead or frozen one; empty. */
    public static final String PROBE = "probe";

    /** Tells an estimate of the pool's mean load and gets the peer's: a double each. */
    public static final String MEAN = "mean";

    /** A record of the claims, to be decided or noted in the log. */
    public static final String CLAIM = "claim";

    /** Asks for a key that only this incarnation of the agent ever runs: an IssueKey. */
    public static final String ISSUE_KEY = "issue-key";

    /** Tells that a backend server died while it ran a request: strikes as the log has them. */
    public static final String STRIKE = "strike";

    /** Asks for the KV cache of a prompt: the request's body; empty when it is no longer held. */
    public static final String KV_EXPORT = "kv-export";

    /** Brings a KV cache that the peer is to import, as its sender leaves. */
    public static final String KV_IMPORT = "kv-import";

    /** An order to the agent's engine: an OrderCall, answered by an OrderAnswer. */
    public static final String ORDER = "order";

    /** Asks what the agent's engine serves: empty, answered by a ReplicaReport. */
    public static final String REPLICA = "replica";

    /** Gives records of the configuration that the agent lacks: ConfigRecords. */
    public static final String CONFIG_OFFER = "config-offer";

    private PeerCalls() {}
}
