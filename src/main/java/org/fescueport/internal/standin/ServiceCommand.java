package org.fescueport.internal.standin;

import com.github.rvesse.airline.annotations.Command;
import org.fescueport.internal.settings.SettingsReader;

/** Runs a stand-in plain service. */
@Command(name = "service", description = "A plain service that counts its runs by idempotency key")
public final class ServiceCommand extends StandinCommand {
    @Override
    void readSettings(SettingsReader reader) {
        // Has no settings of its own.
    }

    @Override
    void start(StandinProcess process, StandinSettings settings) {
        process.add(Standin.service(settings));
    }
}
