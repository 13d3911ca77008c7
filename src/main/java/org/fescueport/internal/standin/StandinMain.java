package org.fescueport.internal.standin;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsException;

/** Entry point of {@code fescue-standin}. */
public final class StandinMain {
    private static final String NAME = "fescue-standin";

    private StandinMain() {}

    public static void main(String[] arguments) throws InterruptedException {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) throws InterruptedException {
        var first = arguments.length == 0 ? "help" : arguments[0];
        if (first.equals("--version")) {
            System.out.println(NAME + " " + version());
            return ExitCode.OK;
        }
        try {
            boolean asksHelp = first.equals("--help") || first.equals("-h");
            switch (asksHelp ? cli().parse("help") : cli().parse(arguments)) {
                case StandinCommand command -> command.run();
                case Help<?> help -> help.run();
                case Object other -> throw new IllegalStateException("unknown command " + other);
            }
            return ExitCode.OK;
        } catch (ParseException | SettingsException e) {
            System.err.println(e.getMessage());
            return ExitCode.USAGE;
        } catch (IllegalStateException e) {
            System.err.println(e.getMessage());
            return ExitCode.CANNOT_START;
        }
    }

    private static String version() {
        var version = StandinMain.class.getPackage().getImplementationVersion();
        return version == null ? "of no release" : version;
    }

    private static Cli<Object> cli() {
        CliBuilder<Object> builder = Cli.builder(NAME);
        builder.withDescription("Stand-ins for the platform and for backend servers")
                .withDefaultCommand(Help.class)
                .withCommand(Help.class)
                .withCommand(AllCommand.class)
                .withCommand(CollectorCommand.class)
                .withCommand(EngineCommand.class)
                .withCommand(LogCommand.class)
                .withCommand(ServiceCommand.class)
                .withCommand(VmsCommand.class)
                .withCommand(WeightsCommand.class);
        return builder.build();
    }
}
