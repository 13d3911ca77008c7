package org.fescueport.internal.load;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import java.util.concurrent.Callable;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Sends a load and reports what came back; the last line is one JSON object. */
@Command(name = "run", description = "Open-loop load of returning chats over HTTP")
public final class RunCommand implements Callable<Integer> {
    @AirlineModule private HelpOption<RunCommand> mHelp;
    @AirlineModule private LoadOptions mOptions = new LoadOptions();

    @Option(name = "--url", title = "URL,...", description = "Routers, which take turns")
    private String mUrl;

    @Override
    public Integer call() throws InterruptedException {
        if (mHelp.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        var reader = SettingsReader.of(System.getenv());
        var profile = mOptions.read(reader);
        var target = LoadOptions.target(reader, "--url", mUrl);
        reader.requireValid();
        var result = LoadRunner.run(profile, List.of(target));
        var recorder = result.recorders().get(0);
        System.out.println(LoadReport.table("Load", recorder, profile.seconds()));
        var json = LoadReport.json(recorder, profile.seconds());
        json.put("overflow", result.overflow());
        json.put("seed", profile.seed());
        System.out.println(json);
        return ExitCode.OK;
    }
}
