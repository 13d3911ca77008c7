package org.fescueport.internal.standin;

/**
 * Faults and limits of a stand-in, which can be changed while it runs. Each kind of stand-in uses
 * only those that apply to it.
 *
 * @param outage every call is refused with 503; the log's error type is {@code not_appended}
 * @param freeze calls get no response while this is set; an engine makes no progress
 * @param slowMillis delay before each call is handled; an engine adds it to each token step
 * @param delayMillis delay of a plain service between the effect of a call and its response
 * @param loseAnswersAfterEffect share of calls, 0 to 1, whose connection is cut after their effect
 * @param loseNextAnswers number of further calls whose connection is cut after their effect
 * @param appendLimitPerSecond maximum number of appends to the log per second
 * @param retentionMillis time after which the log drops a record
 * @param retentionRecords maximum number of records that the log keeps per stream
 * @param lagMillis delay after which changes show in lists of VMs, loads and cache events
 * @param dropCacheEvents share of cache events, 0 to 1, that are lost
 * @param crashOn word in a prompt that makes the engine's process exit; empty for none
 * @param leaving the health check of a backend server reports that it is leaving
 * @param loadMillis time for which an engine serves no requests after an order to load
 * @param bytesPerSecond bandwidth of the weight store, shared by all downloads
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

    /** Returns the default limits without faults. */
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
