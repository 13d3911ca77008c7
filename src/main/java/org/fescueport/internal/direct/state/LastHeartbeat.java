package org.fescueport.internal.direct.state;

/**
 * Identifies the newest heartbeat received from a replica, so that older ones that a restored store
 * contains are not applied again.
 *
 * @param startedAtMillis start time of the incarnation that sent it; 0 if not reported
 * @param heartbeatNumber the replica's count of its heartbeats in this incarnation; 0 if not
 *     reported
 * @param era era of the store from which the heartbeat was read
 */
record LastHeartbeat(long startedAtMillis, long heartbeatNumber, long era) {
    static LastHeartbeat of(ReplicaEntry entry, long era) {
        return new LastHeartbeat(entry.startedAtMillis(), entry.heartbeatNumber(), era);
    }

    /** Returns whether an entry read in a later era is not newer than this heartbeat. */
    boolean supersedes(ReplicaEntry entry, long entryEra) {
        if (entryEra <= era) {
            return false;
        }
        if (entry.startedAtMillis() != startedAtMillis) {
            return entry.startedAtMillis() < startedAtMillis;
        }
        return entry.heartbeatNumber() > 0 && entry.heartbeatNumber() <= heartbeatNumber;
    }
}
