package org.fescueport.internal.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.fescueport.internal.decision.config.FileState;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Publishes an earlier content of one file as a new version. */
@Command(name = "rollback", description = "Publishes an earlier version of a file as a new one")
public final class RollbackCommand extends LogCommand {
    private static final int LAST = -1;

    @Arguments(title = "NAME", description = "Name of the model, service or teams file")
    @Required
    private String mName;

    @Option(
            name = "--to",
            title = "VERSION",
            description = "The version to return to. Default: the one before the current")
    private String mTo;

    private int mVersion;

    @Override
    void readSettings(SettingsReader reader) {
        super.readSettings(reader);
        mVersion = reader.integer("--to", mTo, LAST, LAST, Integer.MAX_VALUE);
    }

    @Override
    int execute(HttpCaller caller) {
        var publisher = publisher(caller);
        publisher.remember(mName);
        var fold = catchUp(publisher);
        var current = fold.file(mName).version();
        var target = choose(publisher.remembered(), current);
        var change = publisher.change(mName, target.content(), current);
        var report = new PublishReport();
        publisher.publish(List.of(change)).join().forEach(r -> print(report.fieldsOf(r)));
        return report.exitCode();
    }

    private FileState choose(List<FileState> history, long current) {
        return history.stream()
                .filter(state -> state.version() < current)
                .filter(state -> mVersion == LAST || state.version() == mVersion)
                .reduce((first, second) -> second)
                .orElseThrow(() -> CtlException.of(ExitCode.USAGE, noSuchVersion(history)));
    }

    private String noSuchVersion(List<FileState> history) {
        var kept = history.stream().map(FileState::version).toList();
        return "The log no longer has that version of "
                + mName
                + "; it has "
                + kept
                + ". Publish the content from version control instead.";
    }
}
