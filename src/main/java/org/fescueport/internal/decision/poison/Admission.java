package org.fescueport.internal.decision.poison;

/** Whether a request may run, as far as poison goes. */
public sealed interface Admission {
    /** Nothing is held against it. */
    record Free() implements Admission {}

    /** It is a suspect and this server holds its trial: run it with nothing beside it. */
    record Alone() implements Admission {}

    /** It is a suspect and nobody holds its trial: ask the log for it. */
    record NeedsTrial() implements Admission {}

    /** It is a suspect and is not run here now. */
    record Wait(long retryAfterMillis) implements Admission {}

    /** Two servers died of it: it is refused for good. */
    record Poison(int deaths) implements Admission {}
}
