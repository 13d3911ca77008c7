package org.fescueport.internal.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Checks declarations without publishing them. */
@Command(name = "validate", description = "Checks declarations and names every problem")
public final class ValidateCommand extends CtlCommand {
    @Arguments(title = "PATH", description = "Files, directories or bundles")
    @Required
    private List<String> mPaths;

    @Override
    void readSettings(SettingsReader reader) {
        // Has no settings of its own.
    }

    @Override
    int execute(HttpCaller caller) {
        var files = DeclarationSource.parse(DeclarationSource.read(mPaths), List.of());
        files.forEach(file -> print("valid", file.file().name(), file.path()));
        return ExitCode.OK;
    }
}
