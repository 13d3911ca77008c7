package org.fescueport.internal.load.experiment;

import org.fescueport.internal.decision.placement.LoadBound;

/**
 * Latency of the other teams while one team sends 20 times its rate, and goodput at twice the
 * capacity.
 */
final class SurgeExperiment implements Experiment {
    private static final LoadBound BOUND = LoadBound.of(1.25, 300);
    private static final int MAX_RUNNING = 16;
    private static final int MAX_QUEUED = 64;
    private static final long CACHE_TOKENS = 400_000;
    private static final long WARM_UP = 60 * VirtualTime.SECOND;
    private static final long DEADLINE = 30 * VirtualTime.SECOND;
    private static final double MEAN_DECODE_TOKENS = 225;

    /** Part of a slot's time that prefills leave for decoding. */
    private static final double DECODE_SHARE = 0.96;

    private static final double SURGING_TEAM_SHARE = 0.08;
    private static final int SURGE_FACTOR = 20;

    private record Size(String name, int routers, int replicas, int domains) {}

    /** What one run does beside the steady traffic. */
    private record Run(String name, double loadOfCapacity, double surgeFactor) {}

    @Override
    public Report run(long seed, boolean quick) {
        var report = new Report("surge", seed, quick).with("surge_factor", SURGE_FACTOR);
        long span = (quick ? 120 : 300) * VirtualTime.SECOND;
        for (var size :
                new Size[] {
                    new Size("instituto", 6, 8, 3),
                    new Size("lakeshore", 6, 6, 4),
                    quick ? new Size("full", 66, 240, 6) : new Size("full", 330, 1_200, 6)
                }) {
            for (var run :
                    new Run[] {
                        new Run("steady 0.6", 0.6, 0),
                        new Run("surge of one team", 0.6, SURGE_FACTOR - 1),
                        new Run("at capacity", 1, 0),
                        new Run("at 2x capacity", 2, 0)
                    }) {
                measure(report, size, run, span, seed);
            }
        }
        return report;
    }

    private static void measure(Report report, Size size, Run run, long span, long seed) {
        var settings =
                new FleetSettings(
                        size.routers(),
                        size.replicas(),
                        size.domains(),
                        CACHE_TOKENS,
                        MAX_RUNNING,
                        MAX_QUEUED,
                        BOUND,
                        0,
                        0);
        var time = new VirtualTime();
        var teams = new Teams(10, SURGING_TEAM_SHARE);
        var tally = new Tally(time, WARM_UP);
        var policy = OwnPolicy.create(size.routers(), seed, true, true);
        var fleet = new Fleet(settings, time, policy, teams, tally, seed);
        double capacity = settings.capacity(MEAN_DECODE_TOKENS) * DECODE_SHARE;
        double rate = capacity * run.loadOfCapacity();
        var calls = new Traffic.Settings(rate, 0.5, 8 * VirtualTime.SECOND, 0.5, DEADLINE);
        var traffic = new Traffic(calls, teams, time, fleet, tally, seed);
        var skew = new SkewMeter(fleet, tally, time, VirtualTime.SECOND);
        traffic.start();
        if (run.surgeFactor() > 0) {
            double surge = rate * SURGING_TEAM_SHARE * run.surgeFactor() / 2;
            time.at(WARM_UP / 2, () -> traffic.surge(0, surge, Long.MAX_VALUE));
        }
        time.runUntil(WARM_UP + span);
        var row = report.row(size.name() + ": " + run.name());
        double seconds = span / (double) VirtualTime.SECOND;
        row.put("others_p50_ms", tally.mOthersMillis.getValueAtPercentile(50));
        row.put("others_p95_ms", tally.mOthersMillis.getValueAtPercentile(95));
        row.put("others_refused", tally.mOthersRefused / (double) Math.max(1, tally.others()));
        row.put("team_p95_ms", tally.mSurgingMillis.getValueAtPercentile(95));
        row.put("refused", tally.refusedShare());
        row.put("in_time_of_capacity", tally.mInTime / seconds / capacity);
        row.put("late", tally.mFinished - tally.mInTime);
        row.put("give_up_late_us", tally.mGiveUpMicros.getMaxValue());
        row.put("given_up", tally.mGiveUpMicros.getTotalCount());
        row.put("attempts", tally.attemptsPerRequest());
        row.put("skew_max", skew.max());
        row.put("refusals", tally.refusals().toString());
    }
}
