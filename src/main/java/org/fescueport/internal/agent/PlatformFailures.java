package org.fescueport.internal.agent;

import java.util.concurrent.CompletionException;
import org.fescueport.port.PlatformException;

/** Finds the platform's error inside what a future failed with. */
final class PlatformFailures {
    private PlatformFailures() {}

    /** Returns the error; one that isn't the platform's leaves the effect unknown. */
    static PlatformException of(Throwable failure) {
        var cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof PlatformException exception) {
            return exception;
        }
        return PlatformException.cannotBeKnown("unexpected failure: " + cause, cause);
    }
}
