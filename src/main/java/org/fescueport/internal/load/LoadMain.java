package org.fescueport.internal.load;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;
import org.fescueport.internal.load.experiment.ExperimentCommand;
import org.fescueport.internal.load.report.ReportCommand;
import org.fescueport.internal.load.soak.SoakAuditCommand;
import org.fescueport.internal.load.soak.SoakLoadCommand;
import org.fescueport.internal.load.soak.SoakPlanCommand;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsException;

/** Entry point of the program. */
@Cli(
        name = "fescue-load",
        description = "Load and experiments",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            CompareCommand.class,
            ExperimentCommand.class,
            MeasuresCommand.class,
            ReportCommand.class,
            RunCommand.class,
            SoakAuditCommand.class,
            SoakLoadCommand.class,
            SoakPlanCommand.class
        })
public final class LoadMain {
    private LoadMain() {}

    /** Runs the command and exits with its code. */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) throws Exception {
        Object command;
        try {
            var cli = new com.github.rvesse.airline.Cli<Object>(LoadMain.class);
            command = cli.parse(arguments);
        } catch (ParseException e) {
            System.err.println(e.getMessage() + "; try: fescue-load help");
            return ExitCode.USAGE;
        }
        try {
            return execute(command);
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private static int execute(Object command) throws Exception {
        return switch (command) {
            case Help<?> help -> {
                help.run();
                yield ExitCode.OK;
            }
            case Callable<?> callable -> (Integer) callable.call();
            default -> throw new IllegalStateException("not a command: " + command);
        };
    }
}
