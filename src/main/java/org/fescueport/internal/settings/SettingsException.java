package org.fescueport.internal.settings;

import java.util.List;

/** One or more settings are wrong; the message lists all of them. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private SettingsException(String message) {
        super(message);
    }

    static SettingsException of(List<String> problems) {
        return new SettingsException(
                "Wrong settings, nothing was started:\n  " + String.join("\n  ", problems));
    }
}
