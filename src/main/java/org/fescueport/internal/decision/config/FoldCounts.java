package org.fescueport.internal.decision.config;

/** Changes folded so far, by verdict; alike on every node at the same position. */
public record FoldCounts(long accepted, long lost, long refused, long unreadable) {
    /** Nothing folded yet. */
    public static final FoldCounts ZERO = new FoldCounts(0, 0, 0, 0);

    FoldCounts plus(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Accepted a -> new FoldCounts(accepted + 1, lost, refused, unreadable);
            case Verdict.Lost l -> new FoldCounts(accepted, lost + 1, refused, unreadable);
            case Verdict.Refused r -> new FoldCounts(accepted, lost, refused + 1, unreadable);
            case Verdict.Skipped s -> new FoldCounts(accepted, lost, refused, unreadable + 1);
            case Verdict.NoChange n -> this;
        };
    }
}
