package org.fescueport.internal.ctl;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsException;

/** Entry point of {@code fescuectl}. */
public final class CtlMain {
    private static final String NAME = "fescuectl";

    private CtlMain() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments, System.getenv(), System.out, System.err));
    }

    /** Runs one command; results go to {@code out}, errors to {@code err}. */
    static int run(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        var first = arguments.length == 0 ? "help" : arguments[0];
        if (first.equals("--version")) {
            out.println(NAME + " " + version());
            return ExitCode.OK;
        }
        try {
            var asksHelp = Set.of("help", "--help", "-h").contains(first) && arguments.length < 2;
            return switch (asksHelp ? cli().parse("help") : cli().parse(arguments)) {
                case CtlCommand command -> command.run(environment, out);
                case Help<?> help -> {
                    help.run();
                    yield ExitCode.OK;
                }
                case Object other -> throw new IllegalStateException("unknown command " + other);
            };
        } catch (ParseException | SettingsException e) {
            err.println(e.getMessage());
            return ExitCode.USAGE;
        } catch (CtlException e) {
            err.println(e.getMessage());
            return e.exitCode();
        }
    }

    private static String version() {
        var version = CtlMain.class.getPackage().getImplementationVersion();
        return version == null ? "of no release" : version;
    }

    private static Cli<Object> cli() {
        CliBuilder<Object> builder = Cli.builder(NAME);
        builder.withDescription("Validates, publishes and watches declarations")
                .withCommand(Help.class)
                .withCommand(ValidateCommand.class)
                .withCommand(CollectCommand.class)
                .withCommand(PublishCommand.class)
                .withCommand(DiffCommand.class)
                .withCommand(StatusCommand.class)
                .withCommand(RollbackCommand.class)
                .withCommand(DrainCommand.class)
                .withCommand(TraceCommand.class);
        return builder.build();
    }
}
