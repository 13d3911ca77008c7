package org.fescueport.internal.log.config;

/**
 * How a follower reads.
 *
 * @param pollMillis time between two reads of the log
 * @param outageMillis time between two tries, and between two rounds of peers, while it is down
 * @param readTimeoutMillis a read without an answer for this long is given up
 * @param currentMillis a node that heard nothing for longer doesn't know whether it is current
 * @param peersPerRound peers asked in each round, in different failure domains where there are any
 */
public record FollowerSettings(
        int pollMillis,
        int outageMillis,
        int readTimeoutMillis,
        int currentMillis,
        int peersPerRound) {
    /** Settings that put a change in force within 6 s, also while the log is down. */
    public static final FollowerSettings DEFAULT =
            new FollowerSettings(1_500, 500, 2_000, 6_000, 3);
}
