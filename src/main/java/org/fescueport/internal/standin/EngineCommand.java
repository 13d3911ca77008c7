package org.fescueport.internal.standin;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.fescueport.internal.settings.SettingsReader;
import org.fescueport.internal.standin.engine.EngineSettings;

/** Runs a stand-in engine. */
@Command(name = "engine", description = "A model engine whose answers are known")
public final class EngineCommand extends StandinCommand {
    @AirlineModule private EngineOptions mOptions = new EngineOptions();

    private EngineSettings mSettings;

    @Override
    void readSettings(SettingsReader reader) {
        mSettings = mOptions.read(reader);
    }

    @Override
    void start(StandinProcess process, StandinSettings settings) {
        process.add(Standin.engine(settings, mSettings));
    }
}
