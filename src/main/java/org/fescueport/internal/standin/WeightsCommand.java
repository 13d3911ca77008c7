package org.fescueport.internal.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.fescueport.internal.settings.SettingsReader;

/** Runs a stand-in weight store. */
@Command(name = "weights", description = "A weight store whose readers share one rate")
public final class WeightsCommand extends StandinCommand {
    static final int ARTIFACT_BYTES = 1_000_000;

    @Option(
            name = "--artifact-bytes",
            title = "N",
            description = "Size of every artifact. Default: 1000000")
    private String mArtifactBytes;

    private int mBytes;

    @Override
    void readSettings(SettingsReader reader) {
        mBytes =
                reader.integer(
                        "--artifact-bytes", mArtifactBytes, ARTIFACT_BYTES, 0, Integer.MAX_VALUE);
    }

    @Override
    void start(StandinProcess process, StandinSettings settings) {
        process.add(Standin.weights(settings, mBytes));
    }
}
