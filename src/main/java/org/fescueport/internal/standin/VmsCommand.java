package org.fescueport.internal.standin;

import com.github.rvesse.airline.annotations.Command;
import org.fescueport.internal.settings.SettingsReader;

/** Runs a stand-in VM list. */
@Command(name = "vms", description = "A lagging list of VMs")
public final class VmsCommand extends StandinCommand {
    @Override
    void readSettings(SettingsReader reader) {
        // Has no settings of its own.
    }

    @Override
    void start(StandinProcess process, StandinSettings settings) {
        process.add(Standin.vms(settings));
    }
}
