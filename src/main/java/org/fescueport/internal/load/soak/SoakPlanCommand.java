package org.fescueport.internal.load.soak;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Prints the schedule of faults that {@code bin/soak} carries out. */
@Command(name = "soak-plan", description = "Prints the faults of a soak: MILLIS ACTION TARGET ...")
public final class SoakPlanCommand implements Callable<Integer> {
    private static final int MOST_SECONDS = 86_400;

    @AirlineModule private HelpOption<SoakPlanCommand> mHelp;

    @Option(name = "--seed", title = "N", description = "Seed of the schedule. Default: 1")
    private String mSeed;

    @Option(name = "--seconds", title = "N", description = "Length of the run. Default: 60")
    private String mSeconds;

    @Option(name = "--routers", title = "NAME,...", description = "Names of the routers")
    private String mRouters;

    @Option(name = "--engines", title = "NAME,...", description = "Names of the engines")
    private String mEngines;

    @Option(name = "--services", title = "NAME,...", description = "Names of the services")
    private String mServices;

    @Override
    public Integer call() {
        if (mHelp.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        var reader = SettingsReader.of(System.getenv());
        int seed = reader.integer("--seed", mSeed, 1, 0, Integer.MAX_VALUE);
        int seconds = reader.integer("--seconds", mSeconds, 60, 1, MOST_SECONDS);
        var fleet =
                new SoakPlan.Fleet(
                        names(reader, "--routers", mRouters),
                        names(reader, "--engines", mEngines),
                        names(reader, "--services", mServices));
        reader.requireValid();
        SoakPlan.of(seed, TimeUnit.SECONDS.toMillis(seconds), fleet).forEach(System.out::println);
        return ExitCode.OK;
    }

    private static List<String> names(SettingsReader reader, String flag, String given) {
        return List.of(reader.requiredText(flag, given).split(","));
    }
}
