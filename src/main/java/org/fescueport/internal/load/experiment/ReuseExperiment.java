package org.fescueport.internal.load.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.placement.LoadBound;

/**
 * Cache reuse through a day's churn, beside baselines and the oracle. The day is compressed: pauses
 * of chats, churn and cache sizes are divided alike, while requests, loads and lists keep their
 * time.
 */
final class ReuseExperiment implements Experiment {
    private static final int COMPRESSION = 60;
    private static final long DAY = 86_400 * VirtualTime.SECOND / COMPRESSION;
    private static final long HOUR = 3_600 * VirtualTime.SECOND / COMPRESSION;
    private static final long MINUTE = 60 * VirtualTime.SECOND / COMPRESSION;
    private static final long CACHE_TOKENS = 8_000_000 / COMPRESSION;
    private static final int FAILURES = 23;
    private static final int REPLACEMENTS = 160;
    private static final long LIST_LAG = 5 * VirtualTime.SECOND;
    private static final double FLAP_SHARE = 0.02;
    private static final LoadBound BOUND = LoadBound.of(1.25, 300);

    /** Fleets of the measure; rates keep the load of each replica the same. */
    private record Size(int routers, int replicas, int domains, int teams) {
        double rate() {
            return replicas * 1_600.0 / 1_200;
        }
    }

    @Override
    public Report run(long seed, boolean quick) {
        var report = new Report("reuse", seed, quick);
        report.with("compression", COMPRESSION);
        var size = quick ? new Size(66, 240, 6, 240) : new Size(330, 1_200, 6, 1_200);
        report.with("routers", size.routers()).with("replicas", size.replicas());
        try (var runs = new Runs()) {
            add(runs, report, "oracle", size, Baselines.oracle(true), 0, seed);
            add(runs, report, "oracle, no import", size, Baselines.oracle(false), 0, seed);
            add(runs, report, "own", size, own(size, seed, true, true), 0, seed);
            var flapping = own(size, seed, true, true);
            add(runs, report, "own, flapping lists", size, flapping, FLAP_SHARE, seed);
            add(runs, report, "own, no import", size, own(size, seed, true, false), 0, seed);
            add(runs, report, "own, no tickets", size, own(size, seed, false, true), 0, seed);
            add(runs, report, "plain rendezvous", size, Baselines.plainRendezvous(), 0, seed);
            add(runs, report, "least load", size, Baselines.leastLoad(), 0, seed);
            add(runs, report, "two choices", size, Baselines.powerOfTwoChoices(seed), 0, seed);
            add(runs, report, "random", size, Baselines.random(seed), 0, seed);
            runs.report();
        }
        report.with("cache_reuse_baselines", baselines(report));
        report.with("cache_reuse", report.figure("own", "reuse"));
        return report.with("cache_reuse_oracle", report.figure("oracle", "reuse"));
    }

    private static Policy own(Size size, long seed, boolean tickets, boolean imports) {
        return OwnPolicy.create(size.routers(), seed, tickets, imports);
    }

    /** Returns the reuse of what others do, by its name. */
    private static Map<String, Object> baselines(Report report) {
        var reuse = new LinkedHashMap<String, Object>();
        for (var name : List.of("random", "least load", "two choices", "plain rendezvous")) {
            reuse.put(name.replace(' ', '_'), Report.rounded(report.figure(name, "reuse")));
        }
        return reuse;
    }

    private static void add(
            Runs runs,
            Report report,
            String name,
            Size size,
            Policy policy,
            double flaps,
            long seed) {
        runs.add(name, () -> measure(report, name, size, policy, flaps, seed));
    }

    private static Runnable measure(
            Report report, String name, Size size, Policy policy, double flaps, long seed) {
        var settings =
                new FleetSettings(
                        size.routers(),
                        size.replicas(),
                        size.domains(),
                        CACHE_TOKENS,
                        16,
                        64,
                        BOUND,
                        LIST_LAG,
                        flaps);
        var time = new VirtualTime();
        var teams = new Teams(size.teams(), 0.05);
        var tally = new Tally(time, 2 * HOUR);
        var fleet = new Fleet(settings, time, policy, teams, tally, seed);
        var calls =
                new Traffic.Settings(size.rate(), 0.85, 10 * MINUTE, 1.9, 60 * VirtualTime.SECOND);
        var traffic = new Traffic(calls, teams, time, fleet, tally, seed);
        var skew = new SkewMeter(fleet, tally, time, VirtualTime.SECOND);
        Churn.schedule(
                time,
                fleet,
                DAY,
                FAILURES * size.replicas() / 1_200,
                REPLACEMENTS * size.replicas() / 1_200,
                5 * MINUTE,
                seed);
        traffic.start();
        time.runUntil(DAY);
        return () -> fill(report, name, tally, skew, traffic);
    }

    private static void fill(
            Report report, String name, Tally tally, SkewMeter skew, Traffic traffic) {
        var row = report.row(name);
        row.put("reuse", tally.reuse());
        row.put(
                "of_oracle",
                name.equals("oracle")
                        ? 1.0
                        : tally.reuse() / (Double) report.figure("oracle", "reuse"));
        row.put("imported", tally.importedShare());
        row.put("skew_max", skew.max());
        row.put("skew_p50", skew.median());
        row.put("mean_tokens", skew.meanTokens());
        row.put("refused", tally.refusedShare());
        row.put("attempts", tally.attemptsPerRequest());
        row.put("p95_ms", tally.mOthersMillis.getValueAtPercentile(95));
        row.put("requests", tally.mFinished);
        row.put("chats", traffic.chats());
    }
}
