package org.fescueport.internal.decision.poison;

/** Whether a request may run, as far as poison goes. */
public sealed interface PoisonAdmission {
    /** Nothing is held against it. */
    record Allowed() implements PoisonAdmission {}

    /** It is a suspect and this server holds its trial: run it with nothing beside it. */
    record RunAlone() implements PoisonAdmission {}

    /** It is a suspect and nobody holds its trial: ask the log for it. */
    record NeedsTrial() implements PoisonAdmission {}

    /** It is a suspect and is not run here now. */
    record RetryLater(long retryAfterMillis) implements PoisonAdmission {}

    /** Two servers died of it: it is refused for good. */
    record Poison(int deaths) implements PoisonAdmission {}
}
