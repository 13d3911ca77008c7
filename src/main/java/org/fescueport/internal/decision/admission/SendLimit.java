package org.fescueport.internal.decision.admission;

/** Decides how much one node may have at the replicas of a pool. */
sealed interface SendLimit permits FlowLimit, StartLimit {
    /** Sets the total number of slots of all replicas and the number of nodes. */
    void onCapacity(double slots, int nodes);

    /** Sets the requests in flight at the replicas per slot; 0 if they are unknown. */
    void onOccupancy(double requestsPerSlot);

    /**
     * Records the first byte of a response.
     *
     * @param firstByteNanos time since the request was sent
     * @param load of this node, with that request
     * @param hasQueued whether offers are queued at this node
     */
    void onFirstByte(
            long firstByteNanos,
            long objectiveNanos,
            SentLoad load,
            boolean hasQueued,
            long nowNanos);

    /** Records that a replica has refused a request for lack of capacity. */
    void onReplicaFull(SentLoad load);

    /** Records that an offer could not be sent while it could have been in time. */
    void onMissed(long nowNanos);

    /** Records a sent request. */
    void onSent();

    /** Records the end of a request. */
    void onEnded();

    /** Returns whether a limit is in force, so that offers may be queued or refused. */
    boolean isActive(long nowNanos);

    /** Returns whether one more request may be sent. */
    boolean admits(SentLoad load, long nowNanos);

    /**
     * Returns whether there is so much capacity that a late request takes none from those that can
     * be in time.
     */
    boolean admitsLate(SentLoad load, long nowNanos);

    /**
     * Returns the rate, in requests per second, at which requests can be sent at least; 0 if only
     * the rate of the recent past tells.
     */
    double assumedRatePerSecond(long nowNanos);

    /** Returns whether late offers have a prospect of being sent, so that they may be queued. */
    boolean hasProspectForLate(long nowNanos);

    /**
     * Returns the time to reserve between sending an offer and the moment by which its response has
     * to begin.
     *
     * @param times of recent requests of the same class
     */
    long reservedNanos(long objectiveNanos, UrgencyClass times);
}
