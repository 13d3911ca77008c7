package org.fescueport.internal.standin;

import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import org.fescueport.internal.settings.SettingsReader;
import org.fescueport.internal.standin.engine.EngineSettings;

/** Options for the size and speed of engines. */
final class EngineOptions {
    private static final int NANOS_PER_MICRO = 1000;
    private static final EngineSettings DEFAULTS = EngineSettings.small();

    @Option(
            name = "--step-micros",
            title = "MICROS",
            description = "Time of a token step with one sequence. Default: 20000")
    private String mStepMicros;

    @Option(
            name = "--step-millis",
            title = "MILLIS",
            description = "The same in milliseconds; --step-micros goes before it")
    private String mStepMillis;

    @Option(
            name = "--slowdown-percent",
            title = "PERCENT",
            description = "Longer step for each further sequence of the batch. Default: 2")
    private String mSlowdown;

    @Option(
            name = "--prefill-micros",
            title = "MICROS",
            description = "Time for each prompt token that is not cached. Default: 100")
    private String mPrefill;

    @Option(
            name = "--max-batch",
            title = "N",
            description = "Sequences that run at once. Default: 32")
    private String mMaxBatch;

    @Option(
            name = "--max-waiting",
            title = "N",
            description = "Sequences that wait at most. Default: 4096")
    private String mMaxWaiting;

    @Option(
            name = "--cache-blocks",
            title = "N",
            description = "Blocks of 16 tokens in the prefix cache. Default: 4096")
    private String mCacheBlocks;

    @Option(
            name = "--check-fencing",
            title = "true|false",
            description = "Whether orders with an older fencing token are refused. Default: true")
    private String mCheckFencing;

    /** Reads the options; the reader collects the problems. */
    EngineSettings read(SettingsReader reader) {
        int stepMillis =
                reader.integer(
                        "--step-millis", mStepMillis, (int) DEFAULTS.step().toMillis(), 0, 60_000);
        int stepMicros =
                reader.integer("--step-micros", mStepMicros, stepMillis * 1000, 0, 60_000_000);
        int slowdown = reader.integer("--slowdown-percent", mSlowdown, 2, 0, 1000);
        int prefillMicros = reader.integer("--prefill-micros", mPrefill, 100, 0, 1_000_000);
        return new EngineSettings(
                Duration.ofNanos((long) stepMicros * NANOS_PER_MICRO),
                slowdown / 100.0,
                Duration.ofNanos((long) prefillMicros * NANOS_PER_MICRO),
                reader.integer("--max-batch", mMaxBatch, DEFAULTS.maxBatch(), 1, 10_000),
                reader.integer("--max-waiting", mMaxWaiting, DEFAULTS.maxWaiting(), 0, 1_000_000),
                reader.integer(
                        "--cache-blocks", mCacheBlocks, DEFAULTS.cacheBlocks(), 0, 10_000_000),
                readBoolean(reader));
    }

    private boolean readBoolean(SettingsReader reader) {
        var text = reader.text("--check-fencing", mCheckFencing, "true");
        if (!text.equals("true") && !text.equals("false")) {
            reader.addProblem("--check-fencing", text, "true or false");
        }
        return text.equals("true");
    }
}
