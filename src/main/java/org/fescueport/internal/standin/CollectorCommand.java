package org.fescueport.internal.standin;

import com.github.rvesse.airline.annotations.Command;
import org.fescueport.internal.settings.SettingsReader;

/** Runs a stand-in trace collector. */
@Command(name = "collector", description = "Receives spans by OTLP and shows traces as text")
public final class CollectorCommand extends StandinCommand {
    @Override
    void readSettings(SettingsReader reader) {
        // Has no settings of its own.
    }

    @Override
    void start(StandinProcess process, StandinSettings settings) {
        process.add(Standin.collector(settings));
    }
}
