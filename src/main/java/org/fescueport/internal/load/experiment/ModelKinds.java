package org.fescueport.internal.load.experiment;

import java.util.List;
import org.fescueport.internal.load.experiment.model.Call;
import org.fescueport.internal.load.experiment.model.EngineModel;
import org.fescueport.internal.load.experiment.model.ServiceModel;

/** Sizes, speeds and kinds of calls of the smaller of the two sites that measure us. */
final class ModelKinds {
    static final EngineModel.Settings ENGINE =
            new EngineModel.Settings(64, 192, 526_114, 3_090_000, 102_000, 56.9, 1_024);

    static final ServiceModel.Settings SERVICE = new ServiceModel.Settings(6, 24, 85_700_000, 0.3);

    /** A kind of call: shared and own prompt tokens, answer, times, share of all calls. */
    record Kind(
            String name,
            int shared,
            int own,
            int output,
            int urgency,
            double aimSeconds,
            double deadlineSeconds,
            double share) {
        /** Returns a call of this kind that arrives now. */
        Call call(long nowNanos, List<Call.Part> parts) {
            return Call.arriving(
                    nowNanos,
                    parts,
                    output,
                    urgency,
                    (long) (aimSeconds * VirtualTime.SECOND),
                    (long) (deadlineSeconds * VirtualTime.SECOND));
        }
    }

    /** Kinds that engines serve. */
    static final List<Kind> GENERATIONS =
            List.of(
                    new Kind("summary", 10_512, 1_300, 384, 0, 1.0, 15, 0.24),
                    new Kind("note", 699, 130, 294, 1, 0.8, 12, 0.40),
                    new Kind("tag", 2_041, 360, 24, 2, 1.2, 3, 0.36));

    /** Kinds that plain services serve. */
    static final List<Kind> LOOKUPS =
            List.of(
                    new Kind("notice", 0, 0, 0, 1, 0.386, 1.5, 0.7),
                    new Kind("lookup", 0, 0, 0, 2, 0.386, 1.5, 0.3));

    private ModelKinds() {}

    /** Returns the kind at this point of [0, 1). */
    static Kind draw(List<Kind> kinds, double drawn) {
        double left = drawn;
        for (var kind : kinds) {
            left -= kind.share();
            if (left < 0) {
                return kind;
            }
        }
        return kinds.getLast();
    }
}
