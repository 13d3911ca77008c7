package org.fescueport.internal.settings;

import java.util.Map;

/** The command line of a program that runs until it is stopped. */
public interface ProgramCommand {
    /** A program that runs. */
    interface Running {
        /** Begins a graceful shutdown and returns when it is over. */
        void stop();
    }

    /** Returns whether {@code --version} was given. */
    boolean isVersionAsked();

    /** Returns whether {@code --help} was given, after it has been shown. */
    boolean showHelpIfAsked();

    /**
     * Checks the settings and starts; throws {@link SettingsException} when one is wrong.
     *
     * @param onGaveUp to be run when the program can no longer go on
     */
    Running start(Map<String, String> environment, Runnable onGaveUp) throws Exception;
}
