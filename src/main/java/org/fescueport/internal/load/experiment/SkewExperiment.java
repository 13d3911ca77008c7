package org.fescueport.internal.load.experiment;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fescueport.internal.decision.placement.LoadBound;

/** Largest load over the mean while one team has half of all traffic, with the reuse beside it. */
final class SkewExperiment implements Experiment {
    private static final LoadBound BOUND = LoadBound.of(1.25, 300);
    private static final int MAX_RUNNING = 64;
    private static final long CACHE_TOKENS = 400_000;
    private static final long WARM_UP = 60 * VirtualTime.SECOND;
    private static final double REQUEST_SECONDS = 225 / FleetSettings.DECODE_PER_SECOND;

    /**
     * A fleet of the measure.
     *
     * @param running requests that each replica runs on average
     */
    private record Size(String name, int routers, int replicas, int domains, double running) {
        double rate() {
            return replicas * running / REQUEST_SECONDS;
        }
    }

    @Override
    public Report run(long seed, boolean quick) {
        var report = new Report("skew", seed, quick).with("skew_bound", BOUND.factor());
        report.with("largest_team_share", 0.5);
        int routers = quick ? 66 : 330;
        int replicas = quick ? 240 : 1_200;
        long span = (quick ? 180 : 400) * VirtualTime.SECOND;
        try (var runs = new Runs()) {
            for (var size :
                    new Size[] {
                        new Size("instituto", 6, 8, 3, 24),
                        new Size("lakeshore", 6, 6, 4, 24),
                        new Size("full, peak of 9 a replica", routers, replicas, 6, 9),
                        new Size("full, 24 a replica", routers, replicas, 6, 24)
                    }) {
                addAll(runs, report, size, span, seed);
            }
            runs.report();
        }
        Object skew = report.figure("full, 24 a replica: own", "skew_max");
        return report.with("skew_max_over_mean", skew);
    }

    private static void addAll(Runs runs, Report report, Size size, long span, long seed) {
        var policies = new LinkedHashMap<String, Policy>();
        policies.put("own", OwnPolicy.create(size.routers(), seed, true, true));
        policies.put("oracle", Baselines.oracle(true));
        policies.put("rendezvous", Baselines.plainRendezvous());
        policies.put("least load", Baselines.leastLoad());
        policies.put("two choices", Baselines.powerOfTwoChoices(seed));
        policies.put("random", Baselines.random(seed));
        policies.forEach(
                (name, policy) ->
                        runs.add(
                                size.name() + ": " + name,
                                () -> measure(report, size, name, policy, span, seed)));
    }

    private static Runnable measure(
            Report report, Size size, String name, Policy policy, long span, long seed) {
        var settings =
                new FleetSettings(
                        size.routers(),
                        size.replicas(),
                        size.domains(),
                        CACHE_TOKENS,
                        MAX_RUNNING,
                        MAX_RUNNING,
                        BOUND,
                        0,
                        0);
        var time = new VirtualTime();
        var teams = new Teams(10, 0.5);
        var tally = new Tally(time, WARM_UP);
        var fleet = new Fleet(settings, time, policy, teams, tally, seed);
        var calls =
                new Traffic.Settings(
                        size.rate(), 0.8, 10 * VirtualTime.SECOND, 0.5, 120 * VirtualTime.SECOND);
        var traffic = new Traffic(calls, teams, time, fleet, tally, seed);
        var skew = new SkewMeter(fleet, tally, time, VirtualTime.SECOND);
        traffic.start();
        time.runUntil(WARM_UP + span);
        return () -> fill(report.row(size.name() + ": " + name), tally, skew);
    }

    private static void fill(Map<String, Object> row, Tally tally, SkewMeter skew) {
        row.put("skew_max", skew.max());
        row.put("skew_p50", skew.median());
        row.put("above", skew.above());
        row.put("samples", skew.samples());
        row.put("mean_tokens", skew.meanTokens());
        row.put("mean_error_p50", skew.meanError(50));
        row.put("mean_error_p99", skew.meanError(99));
        row.put("reuse", tally.reuse());
        row.put("imported", tally.importedShare());
        row.put("refusals", tally.refusals().toString());
        row.put("refused", tally.refusedShare());
        row.put("attempts", tally.attemptsPerRequest());
        row.put("p95_ms", tally.mOthersMillis.getValueAtPercentile(95));
    }
}
