package org.fescueport.internal.log.config;

import org.fescueport.internal.decision.config.Verdict;

/** What became of one published file. */
public sealed interface PublishResult {
    /** The log holds the change, and this is what it is worth. */
    record Judged(String file, Verdict verdict) implements PublishResult {}

    /** The change surely isn't in the log. */
    record NotPublished(String file, String why) implements PublishResult {}

    /** The change may or may not be in the log: publish again, or look at the status later. */
    record Unknown(String file, String why) implements PublishResult {}
}
