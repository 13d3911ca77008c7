package org.fescueport.internal.standin;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.fescueport.internal.settings.SettingsReader;
import org.fescueport.internal.standin.engine.EngineSettings;

/** Runs one of each stand-in, and several engines and services, in one process. */
@Command(name = "all", description = "Several stand-ins in one process, each on a free port")
public final class AllCommand extends StandinCommand {
    private static final int MOST = 200;

    @AirlineModule private EngineOptions mOptions = new EngineOptions();

    @Option(name = "--engines", title = "N", description = "Number of engines. Default: 1")
    private String mEngines;

    @Option(name = "--services", title = "N", description = "Number of services. Default: 1")
    private String mServices;

    private EngineSettings mEngineSettings;
    private int mEngineCount;
    private int mServiceCount;

    @Override
    void readSettings(SettingsReader reader) {
        mEngineSettings = mOptions.read(reader);
        mEngineCount = reader.integer("--engines", mEngines, 1, 0, MOST);
        mServiceCount = reader.integer("--services", mServices, 1, 0, MOST);
    }

    @Override
    void start(StandinProcess process, StandinSettings given) {
        var bare = given.withPort(0);
        var collector = Standin.collector(bare);
        var settings =
                given.collector().isPresent() ? bare : bare.withCollector(collector.address());
        process.add("log", Standin.log(settings));
        process.add("vms", Standin.vms(settings));
        process.add("weights", Standin.weights(settings, WeightsCommand.ARTIFACT_BYTES));
        process.add("collector", collector);
        for (int i = 1; i <= mEngineCount; i++) {
            process.add("engine-" + i, Standin.engine(settings, mEngineSettings));
        }
        for (int i = 1; i <= mServiceCount; i++) {
            process.add("service-" + i, Standin.service(settings));
        }
    }
}
