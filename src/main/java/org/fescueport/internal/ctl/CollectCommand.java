package org.fescueport.internal.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.List;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Gathers the declarations of a tree of repositories into one bundle. */
@Command(name = "collect", description = "Gathers *.fescue.yaml under a root into one bundle")
public final class CollectCommand extends CtlCommand {
    @Arguments(title = "ROOT", description = "Directories to search")
    @Required
    private List<String> mRoots;

    @Option(name = "--out", title = "FILE", description = "The bundle to write, a .json file")
    private String mOut;

    private String mFile;

    @Override
    void readSettings(SettingsReader reader) {
        mFile = reader.requiredText("--out", mOut);
        if (!mFile.endsWith(".json")) {
            reader.addProblem("--out", mFile, "a name that ends with .json");
        }
    }

    @Override
    int execute(HttpCaller caller) {
        var sources = DeclarationSource.read(mRoots);
        var files = DeclarationSource.parse(sources, List.of());
        DeclarationSource.write(sources, Path.of(mFile));
        files.forEach(file -> print("collected", file.file().name(), file.path()));
        return ExitCode.OK;
    }
}
