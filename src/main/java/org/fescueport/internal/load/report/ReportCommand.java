package org.fescueport.internal.load.report;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.fescueport.internal.settings.ExitCode;

/**
 * Writes a page with plots of played days: worth by day and version, where it was lost, what was
 * served by class, zone and time.
 *
 * <pre>{@code
 * bin/fescue-load report --journal journal --site inec-niveles --out target/report.html
 * bin/fescue-load report --run day.json --out target/report.html
 * }</pre>
 */
@Command(name = "report", description = "Turns results of played days into a page with plots")
public final class ReportCommand implements Callable<Integer> {
    @AirlineModule private HelpOption<ReportCommand> mHelp;

    @Option(name = "--journal", title = "FOLDER", description = "Folder of journal entries")
    private String mJournal;

    @Option(name = "--site", title = "NAME", description = "Site of the journal's scores")
    private String mSite = "";

    @Option(
            name = "--run",
            title = "FILE",
            description = "Report file of one day; may be given several times")
    private List<String> mRuns = new ArrayList<>();

    @Option(name = "--out", title = "FILE", description = "Page to write")
    private String mOut;

    @Override
    public Integer call() throws IOException {
        if (mHelp != null && mHelp.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        if (mOut == null || (mJournal == null) != mSite.isEmpty()) {
            System.err.println("--out is needed, and --journal and --site go together");
            return ExitCode.USAGE;
        }
        System.setProperty("java.awt.headless", "true");
        try {
            return write();
        } catch (ReportException e) {
            System.err.println(e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private int write() throws IOException, ReportException {
        List<DayRun> scored =
                mJournal == null ? List.of() : ResultFiles.readJournal(Path.of(mJournal), mSite);
        List<DayRun> single = new ArrayList<>();
        for (String file : mRuns) {
            single.add(ResultFiles.readRun(Path.of(file)));
        }
        if (scored.isEmpty() && single.isEmpty()) {
            System.err.println("Nothing to report: no score of site '" + mSite + "' and no --run.");
            return ExitCode.FAILED;
        }
        Path out = Path.of(mOut).toAbsolutePath();
        Files.createDirectories(out.getParent());
        Files.writeString(out, ReportPage.of(mSite, scored, single));
        System.out.println(scored.size() + single.size() + " days in " + out);
        return ExitCode.OK;
    }
}
