package org.fescueport.internal.load.bench;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.concurrent.Callable;
import org.fescueport.internal.settings.ExitCode;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs the benchmarks of the decisions inside this process. */
@Command(name = "bench", description = "Benchmarks of the decisions, in time and allocation")
public final class BenchCommand implements Callable<Integer> {
    private static final int QUICK_MILLIS = 200;
    private static final int FULL_MILLIS = 1_000;
    private static final int QUICK_ITERATIONS = 3;
    private static final int FULL_ITERATIONS = 5;

    @Option(name = "--quick", description = "Fewer and shorter iterations")
    private boolean mQuick;

    @Override
    public Integer call() throws RunnerException {
        var time = TimeValue.milliseconds(mQuick ? QUICK_MILLIS : FULL_MILLIS);
        int iterations = mQuick ? QUICK_ITERATIONS : FULL_ITERATIONS;
        // A benchmark in its own process would need a child process, which we do not start.
        var options =
                new OptionsBuilder()
                        .include(PlacementBenchmark.class.getSimpleName())
                        .forks(0)
                        .warmupIterations(iterations)
                        .warmupTime(time)
                        .measurementIterations(iterations)
                        .measurementTime(time)
                        .addProfiler(GCProfiler.class)
                        .shouldDoGC(false)
                        .build();
        new Runner(options).run();
        return ExitCode.OK;
    }
}
