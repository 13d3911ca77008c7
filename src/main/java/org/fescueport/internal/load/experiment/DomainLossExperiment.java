package org.fescueport.internal.load.experiment;

import org.fescueport.internal.decision.placement.LoadBound;

/** Attempts and refusals in the seconds after a failure domain is lost without a word. */
final class DomainLossExperiment implements Experiment {
    private static final long LOSS = 40 * VirtualTime.SECOND;
    private static final long WINDOW = 10 * VirtualTime.SECOND;
    private static final long ABSENCE = 8 * VirtualTime.SECOND;
    private static final long RETURN_WINDOW = 40 * VirtualTime.SECOND;
    private static final long LIST_LAG = 10 * VirtualTime.SECOND;
    private static final double REQUESTS_EACH = 9;
    private static final double REQUEST_SECONDS = 225 / FleetSettings.DECODE_PER_SECOND;

    @Override
    public Report run(long seed, boolean quick) {
        var report = new Report("domain-loss", seed, quick);
        report.with("window_s", WINDOW / VirtualTime.SECOND);
        int routers = quick ? 66 : 330;
        int replicas = quick ? 240 : 1_200;
        var own = OwnPolicy.create(routers, seed, true, true);
        measure(report, "full, before", own, routers, replicas, 6, false, seed);
        own = OwnPolicy.create(routers, seed, true, true);
        measure(report, "full, domain lost", own, routers, replicas, 6, true, seed);
        var plain = Baselines.plainRendezvous();
        measure(report, "full, plain rendezvous", plain, routers, replicas, 6, true, seed);
        own = OwnPolicy.create(6, seed, true, true);
        measure(report, "instituto, domain lost", own, 6, 8, 3, true, seed);
        own = OwnPolicy.create(6, seed, true, true);
        measure(report, "lakeshore, domain lost", own, 6, 6, 4, true, seed);
        own = OwnPolicy.create(routers, seed, true, true);
        measureReturn(report, "full, domain back after 8 s", own, routers, replicas, seed);
        return report;
    }

    private static void measure(
            Report report,
            String name,
            Policy policy,
            int routers,
            int replicas,
            int domains,
            boolean loses,
            long seed) {
        var time = new VirtualTime();
        var tally = new Tally(time, LOSS);
        var fleet = start(time, tally, policy, routers, replicas, domains, seed);
        if (loses) {
            time.at(LOSS, fleet::loseFirstDomain);
        }
        time.runUntil(LOSS + WINDOW);
        var row = report.row(name);
        row.put("attempts_per_request", tally.attemptsPerArrival());
        row.put("unreachable", tally.mUnreachable);
        row.put("refused", tally.mRefused);
        row.put("arrived", tally.mArrived);
    }

    /** Attempts, refusals and loads while a domain that was lost for a short time comes back. */
    private static void measureReturn(
            Report report, String name, Policy policy, int routers, int replicas, long seed) {
        var time = new VirtualTime();
        var tally = new Tally(time, LOSS + ABSENCE);
        var fleet = start(time, tally, policy, routers, replicas, 6, seed);
        var skew = new SkewMeter(fleet, tally, time, VirtualTime.SECOND);
        time.at(LOSS, fleet::loseFirstDomain);
        time.at(LOSS + ABSENCE, fleet::returnFirstDomain);
        time.runUntil(LOSS + ABSENCE + RETURN_WINDOW);
        var row = report.row(name);
        row.put("attempts_per_request", tally.attemptsPerArrival());
        row.put("unreachable", tally.mUnreachable);
        row.put("refused", tally.mRefused);
        row.put("arrived", tally.mArrived);
        row.put("skew_max", skew.max());
        row.put("skew_p50", skew.median());
    }

    private static Fleet start(
            VirtualTime time,
            Tally tally,
            Policy policy,
            int routers,
            int replicas,
            int domains,
            long seed) {
        var bound = LoadBound.of(1.25, 300);
        var settings =
                new FleetSettings(routers, replicas, domains, 400_000, 24, 64, bound, LIST_LAG, 0);
        var teams = new Teams(10, 0.1);
        var fleet = new Fleet(settings, time, policy, teams, tally, seed);
        var calls =
                new Traffic.Settings(
                        replicas * REQUESTS_EACH / REQUEST_SECONDS,
                        0.5,
                        8 * VirtualTime.SECOND,
                        0.5,
                        60 * VirtualTime.SECOND);
        new Traffic(calls, teams, time, fleet, tally, seed).start();
        return fleet;
    }
}
