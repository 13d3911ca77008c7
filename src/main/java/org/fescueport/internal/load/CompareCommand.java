package org.fescueport.internal.load;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Sends the same load straight to engines and through the fleet, one request each in turn. */
@Command(name = "compare", description = "Latency that the fleet adds, both sides in one run")
public final class CompareCommand implements Callable<Integer> {
    @AirlineModule private HelpOption<CompareCommand> mHelp;
    @AirlineModule private LoadOptions mOptions = new LoadOptions();

    @Option(name = "--direct", title = "URL,...", description = "Engines, which take turns")
    private String mDirect;

    @Option(name = "--through", title = "URL,...", description = "Routers, which take turns")
    private String mThrough;

    @Override
    public Integer call() throws InterruptedException {
        if (mHelp.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        var reader = SettingsReader.of(System.getenv());
        var profile = mOptions.read(reader);
        var direct = LoadOptions.target(reader, "--direct", mDirect);
        var through = LoadOptions.target(reader, "--through", mThrough);
        reader.requireValid();
        var result = LoadRunner.run(twice(profile), List.of(direct, through));
        report(result, profile);
        return ExitCode.OK;
    }

    /** Returns the profile whose arrivals, given out in turn, are the asked rate for each side. */
    private static LoadProfile twice(LoadProfile profile) {
        return new LoadProfile(
                profile.keys(),
                profile.models(),
                2 * profile.ratePerSecond(),
                profile.seconds(),
                profile.warmupSeconds(),
                profile.returnPercent(),
                profile.chats(),
                profile.systemWords(),
                profile.userWords(),
                profile.maxTokens(),
                profile.streamPercent(),
                profile.surge(),
                profile.seed());
    }

    private static void report(LoadRunner.Result result, LoadProfile profile) {
        var direct = result.recorders().get(0);
        var through = result.recorders().get(1);
        System.out.println(LoadReport.table("Straight to the engines", direct, profile.seconds()));
        System.out.println(LoadReport.table("Through the fleet", through, profile.seconds()));
        var json = LoadReport.object();
        json.put("added_latency_p50_ms", added(direct.total(), through.total(), 50));
        json.put("added_latency_p99_ms", added(direct.total(), through.total(), 99));
        json.put("added_first_token_p50_ms", added(direct.firstToken(), through.firstToken(), 50));
        json.put("added_first_token_p99_ms", added(direct.firstToken(), through.firstToken(), 99));
        json.set("direct", LoadReport.json(direct, profile.seconds()));
        json.set("through", LoadReport.json(through, profile.seconds()));
        json.put("overflow", result.overflow());
        json.put("seed", profile.seed());
        System.out.println(json);
    }

    /** Returns null when one side gave no answer. */
    private static Double added(Histogram direct, Histogram through, double percentile) {
        if (direct.getTotalCount() == 0 || through.getTotalCount() == 0) {
            return null;
        }
        return LoadReport.millis(through, percentile) - LoadReport.millis(direct, percentile);
    }
}
