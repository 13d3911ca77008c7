package org.fescueport.internal.load.experiment;

import org.fescueport.internal.decision.admission.AdmissionDecision;

/** A way to pick a replica: the product's own, a baseline, or the oracle. */
interface Policy {
    /**
     * Where a job goes.
     *
     * @param cacheHolder replica to import the chat's KV cache from, or null
     */
    record Target(FakeReplica replica, FakeReplica cacheHolder) {}

    /** Returns where the job goes now, or null when it is refused at the router. */
    Target choose(Job job, Fleet fleet);

    /** Hears the answer of the replica that was chosen. */
    default void onAnswer(Job job, FakeReplica replica, AdmissionDecision admission, Fleet fleet) {}

    /** Hears that the chosen replica could not be reached. */
    default void onUnreachable(Job job, FakeReplica replica, Fleet fleet) {}

    /** Returns the delay until the next attempt, or a negative number to give up. */
    default long retryDelayNanos(Job job, boolean busy, Fleet fleet) {
        return job.mAttempt < 3 ? 0 : -1;
    }

    /** Whether agents hold the load bound under this policy. */
    default boolean isBounded() {
        return false;
    }

    /** Whether agents know the true mean, without gossip. */
    default boolean knowsMean() {
        return false;
    }

    /** Whether a leaving replica hands its chats over. */
    default boolean handsOver() {
        return false;
    }
}
