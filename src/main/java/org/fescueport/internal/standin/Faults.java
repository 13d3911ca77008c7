package org.fescueport.internal.standin;

/**
 * Faults of a stand-in that are switched while it runs; each stand-in heeds those that concern it.
 *
 * @param outage every call is refused with 503; the log says {@code not_appended}
 * @param freeze calls are neither answered nor refused until this ends; an engine stands still
 * @param slowMillis delay of each answer; of an engine, added to each token step
 * @param delayMillis time that a plain service takes after the effect of a call
 * @param loseAnswersAfterEffect share of calls, 0 to 1, whose connection is cut after their effect
 * @param loseNextAnswers number of next calls whose connection is cut after their effect
 * @param appendLimitPerSecond appends that the log accepts in a second
 * @param retentionMillis time for which the log keeps a record
 * @param retentionRecords records that the log keeps in a stream
 * @param lagMillis how late lists of VMs, loads and cache events are
 * @param dropCacheEvents share of cache events, 0 to 1, that are lost
 * @param crashOn a prompt with this word ends the engine's process; empty for none
 * @param leaving a backend server says on its health check that it is leaving
 * @param loadMillis time for which an engine serves nothing after an order to load
 * @param bytesPerSecond rate of the weight store
 */
public record Faults(
        boolean outage,
        boolean freeze,
        long slowMillis,
        long delayMillis,
        double loseAnswersAfterEffect,
        int loseNextAnswers,
        int appendLimitPerSecond,
        long retentionMillis,
        int retentionRecords,
        long lagMillis,
        double dropCacheEvents,
        String crashOn,
        boolean leaving,
        long loadMillis,
        long bytesPerSecond) {
    private static final int APPENDS_PER_SECOND = 400;
    private static final long RETENTION_MILLIS = 24 * 3600 * 1000L;
    private static final int RETENTION_RECORDS = 500_000;
    private static final long WEIGHTS_BYTES_PER_SECOND = 100_000_000;

    /** Returns a stand-in's limits with no fault switched on. */
    public static Faults none() {
        return new Faults(
                false,
                false,
                0,
                0,
                0,
                0,
                APPENDS_PER_SECOND,
                RETENTION_MILLIS,
                RETENTION_RECORDS,
                0,
                0,
                "",
                false,
                0,
                WEIGHTS_BYTES_PER_SECOND);
    }
}
