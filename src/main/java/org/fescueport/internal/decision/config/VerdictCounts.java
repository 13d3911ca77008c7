package org.fescueport.internal.decision.config;

/**
 * The number of changes and of unreadable records so far, by verdict. Every node at the same
 * position of the stream has the same counts.
 */
public record VerdictCounts(long accepted, long lost, long refused, long unreadable) {
    /** The counts before the first record. */
    public static final VerdictCounts ZERO = new VerdictCounts(0, 0, 0, 0);

    VerdictCounts plus(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Accepted a -> new VerdictCounts(accepted + 1, lost, refused, unreadable);
            case Verdict.Lost l -> new VerdictCounts(accepted, lost + 1, refused, unreadable);
            case Verdict.Refused r -> new VerdictCounts(accepted, lost, refused + 1, unreadable);
            case Verdict.Skipped s -> new VerdictCounts(accepted, lost, refused, unreadable + 1);
            case Verdict.NoChange n -> this;
        };
    }
}
