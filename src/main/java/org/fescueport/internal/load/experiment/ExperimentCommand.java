package org.fescueport.internal.load.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.fescueport.internal.settings.ExitCode;

/** Runs one experiment with the decisions on a paused clock; prints a table and a line of JSON. */
@Command(name = "experiment", description = "Measure the decisions against baselines")
public final class ExperimentCommand implements Callable<Integer> {
    private static final TreeMap<String, Experiment> EXPERIMENTS = new TreeMap<>();

    static {
        EXPERIMENTS.put("domain-loss", new DomainLossExperiment());
        EXPERIMENTS.put("overload", new OverloadExperiment());
        EXPERIMENTS.put("placing", new PlacingExperiment());
        EXPERIMENTS.put("gossip", new GossipExperiment());
        EXPERIMENTS.put("surge", new SurgeExperiment());
        EXPERIMENTS.put("reuse", new ReuseExperiment());
        EXPERIMENTS.put("skew", new SkewExperiment());
    }

    @Option(name = "--name", description = "Name of the experiment")
    private String mName;

    @Option(name = "--seed", description = "Seed of everything that is drawn")
    private long mSeed = 1;

    @Option(name = "--quick", description = "A smaller fleet and a shorter time")
    private boolean mQuick;

    @Override
    public Integer call() {
        var experiment = mName == null ? null : EXPERIMENTS.get(mName);
        if (experiment == null) {
            System.err.println("--name is one of " + EXPERIMENTS.keySet() + ", not " + mName);
            return ExitCode.USAGE;
        }
        var report = experiment.run(mSeed, mQuick);
        System.out.print(report.table());
        System.out.println(report.json());
        return ExitCode.OK;
    }
}
