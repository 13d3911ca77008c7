package org.fescueport.internal.settings;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs a long-lived program from its command line until a signal or until it gives up. */
public final class ProgramRunner {
    private static final String UNKNOWN_VERSION = "development";

    private ProgramRunner() {}

    /** Runs the program and ends the process with one of the {@link ExitCode}s. */
    public static void run(Class<? extends ProgramCommand> type, String[] arguments) {
        var errors = System.err;
        try {
            var command = SingleCommand.singleCommand(type).parse(arguments);
            if (command.isVersionAsked()) {
                System.out.println(version());
                System.exit(ExitCode.OK);
            }
            if (command.showHelpIfAsked()) {
                System.exit(ExitCode.OK);
            }
            runUntilStopped(command, errors);
        } catch (ParseException e) {
            errors.println(e.getMessage() + "; --help lists what is allowed.");
            System.exit(ExitCode.USAGE);
        } catch (SettingsException e) {
            errors.println(e.getMessage());
            System.exit(ExitCode.USAGE);
        }
    }

    /** Returns the version of the program. */
    public static String version() {
        return Optional.ofNullable(ProgramRunner.class.getPackage().getImplementationVersion())
                .orElse(UNKNOWN_VERSION);
    }

    private static void runUntilStopped(ProgramCommand command, PrintStream errors) {
        var stopAsked = new CountDownLatch(1);
        var code = new AtomicInteger(ExitCode.OK);
        var running = start(command, errors, stopAsked, code);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitHalt(stopAsked), "shutdown"));
        await(stopAsked);
        try {
            running.stop();
        } finally {
            // Inside a shutdown that a signal began, exit would wait for itself.
            Runtime.getRuntime().halt(code.get());
        }
    }

    private static ProgramCommand.Running start(
            ProgramCommand command,
            PrintStream errors,
            CountDownLatch stopAsked,
            AtomicInteger code) {
        try {
            return command.start(
                    System.getenv(),
                    () -> {
                        code.set(ExitCode.GAVE_UP);
                        stopAsked.countDown();
                    });
        } catch (SettingsException e) {
            throw e;
        } catch (Exception e) {
            errors.println("Cannot start: " + e.getMessage());
            System.exit(ExitCode.CANNOT_START);
            throw new IllegalStateException("unreachable", e);
        }
    }

    /** Returns never: once all shutdown hooks return, the signal decides on the exit code. */
    private static void awaitHalt(CountDownLatch stopAsked) {
        stopAsked.countDown();
        await(new CountDownLatch(1));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
