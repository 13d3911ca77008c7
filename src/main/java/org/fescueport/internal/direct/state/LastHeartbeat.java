package org.fescueport.internal.direct.state;

/**
 * How far a replica's own words have been heard, so that a copy of the store that is some seconds
 * old cannot bring older ones back.
 *
 * @param startedAtMillis of the life that spoke; 0 when it does not say
 * @param heartbeatNumber the replica's count of its words in this life; 0 when it does not say
 * @param era of the store from which the word was read
 */
record LastHeartbeat(long startedAtMillis, long heartbeatNumber, long era) {
    static LastHeartbeat of(ReplicaEntry entry, long era) {
        return new LastHeartbeat(entry.startedAtMillis(), entry.heartbeatNumber(), era);
    }

    /** Returns whether an entry of a later era says nothing that had not been heard before. */
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
