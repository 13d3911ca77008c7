package org.fescueport.internal.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.fescueport.internal.decision.config.DeclarationFile;
import org.fescueport.internal.decision.config.FileState;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.settings.ExitCode;

/** Compares declarations with what is in force. */
@Command(name = "diff", description = "Shows what publishing these declarations would change")
public final class DiffCommand extends LogCommand {
    @Arguments(title = "PATH", description = "Files, directories or bundles")
    @Required
    private List<String> mPaths;

    @Override
    int execute(HttpCaller caller) {
        var fold = catchUp(publisher(caller));
        var differs = false;
        for (var file : DeclarationSource.parse(DeclarationSource.read(mPaths), List.of())) {
            differs |= differs(fold.file(file.file().name()), file.file());
        }
        return differs ? CtlExit.DIFFERS : ExitCode.OK;
    }

    private boolean differs(FileState state, DeclarationFile file) {
        var before = state.content().map(FileText::linesOf).orElse(List.of());
        var after = FileText.linesOf(file);
        if (state.content().isPresent() && before.equals(after)) {
            return false;
        }
        print("---", file.name(), "version " + state.version());
        before.stream().filter(line -> !after.contains(line)).forEach(line -> print("- " + line));
        after.stream().filter(line -> !before.contains(line)).forEach(line -> print("+ " + line));
        return true;
    }
}
