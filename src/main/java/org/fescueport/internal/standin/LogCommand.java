package org.fescueport.internal.standin;

import com.github.rvesse.airline.annotations.Command;
import org.fescueport.internal.settings.SettingsReader;

/** Runs a stand-in log service. */
@Command(name = "log", description = "An append-only log in memory")
public final class LogCommand extends StandinCommand {
    @Override
    void readSettings(SettingsReader reader) {
        // Has no settings of its own.
    }

    @Override
    void start(StandinProcess process, StandinSettings settings) {
        process.add(Standin.log(settings));
    }
}
