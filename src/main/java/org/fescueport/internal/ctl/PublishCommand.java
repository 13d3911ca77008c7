package org.fescueport.internal.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.decision.config.ConfigFold;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.DeclarationFile;
import org.fescueport.internal.decision.config.FileState;
import org.fescueport.internal.decision.config.ParsedFile;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.log.config.ConfigPublisher;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Publishes declarations and tells the verdict on each. */
@Command(name = "publish", description = "Publishes declarations and tells the verdict on each")
public final class PublishCommand extends LogCommand {
    private static final int NO_BASE = -1;

    @Arguments(title = "PATH", description = "Files, directories or bundles")
    private List<String> mPaths = new ArrayList<>();

    @Option(
            name = "--base",
            title = "VERSION",
            description =
                    "Version of the file that the change was made from; one file only."
                            + " Default: the current one")
    private String mBase;

    @Option(name = "--remove", title = "NAME", description = "Removes this model, service or teams")
    private List<String> mRemoved = new ArrayList<>();

    private int mBaseVersion;

    @Override
    void readSettings(SettingsReader reader) {
        super.readSettings(reader);
        mBaseVersion = reader.integer("--base", mBase, NO_BASE, NO_BASE, Integer.MAX_VALUE);
        if (mPaths.isEmpty() && mRemoved.isEmpty()) {
            reader.addProblem("PATH", "", "at least one path, or --remove NAME");
        }
    }

    @Override
    int execute(HttpCaller caller) {
        var publisher = publisher(caller);
        var fold = catchUp(publisher);
        var changes = new ArrayList<ConfigRecord.Change>();
        for (var file : parsed(fold)) {
            var state = fold.file(file.file().name());
            if (state.content().equals(Optional.of(file.file()))) {
                print("unchanged", file.file().name(), state.version());
            } else {
                var base = mBaseVersion == NO_BASE ? state.version() : mBaseVersion;
                changes.add(publisher.change(file.file().name(), Optional.of(file.file()), base));
            }
        }
        for (var name : mRemoved) {
            changes.add(publisher.change(name, Optional.empty(), fold.file(name).version()));
        }
        return publish(publisher, changes);
    }

    private List<ParsedFile> parsed(ConfigFold fold) {
        if (mPaths.isEmpty()) {
            return List.of();
        }
        var files = DeclarationSource.parse(DeclarationSource.read(mPaths), inForce(fold));
        if (mBaseVersion != NO_BASE && files.size() != 1) {
            var message = "--base goes with one file, not with " + files.size() + ".";
            throw CtlException.of(ExitCode.USAGE, message);
        }
        return files;
    }

    private List<DeclarationFile> inForce(ConfigFold fold) {
        return fold.files().entrySet().stream()
                .filter(file -> !mRemoved.contains(file.getKey()))
                .map(file -> file.getValue())
                .map(FileState::content)
                .flatMap(Optional::stream)
                .toList();
    }

    private int publish(ConfigPublisher publisher, List<ConfigRecord.Change> changes) {
        var report = new PublishReport();
        if (!changes.isEmpty()) {
            publisher.publish(changes).join().forEach(r -> print(report.fieldsOf(r)));
        }
        return report.exitCode();
    }
}
